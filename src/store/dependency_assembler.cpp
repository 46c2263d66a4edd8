#include "store/dependency_assembler.hpp"

#include <utility>

namespace pineroad::store {

std::optional<Versioned<model::JobSpec>> DependencyAssembler::add_job(Versioned<model::JobSpec> job) {
    if (append_dependency_records(job.value)) return job;
    const std::string id = job.value.id;
    incomplete_[id] = std::move(job);
    return std::nullopt;
}

std::optional<Versioned<model::JobSpec>> DependencyAssembler::add_dependencies(
    const std::string& job_id, const std::string& number, std::vector<std::string> dependencies) {
    dependency_records_[job_id][number] = std::move(dependencies);
    const auto incomplete = incomplete_.find(job_id);
    if (incomplete == incomplete_.end()) return std::nullopt;
    auto job = std::move(incomplete->second);
    incomplete_.erase(incomplete);
    return add_job(std::move(job));
}

void DependencyAssembler::remove(const std::string& job_id) {
    incomplete_.erase(job_id);
    dependency_records_.erase(job_id);
}

void DependencyAssembler::clear() {
    incomplete_.clear();
    dependency_records_.clear();
}

bool DependencyAssembler::append_dependency_records(model::JobSpec& spec) const {
    if (spec.dependency_records == 0) return true;
    const auto records = dependency_records_.find(spec.id);
    const std::size_t record_count = records == dependency_records_.end() ? 0 : records->second.size();
    if (record_count < spec.dependency_records) return false;
    for (const auto& [number, dependencies] : records->second)
        spec.dependencies.insert(spec.dependencies.end(), dependencies.begin(), dependencies.end());
    return true;
}

}  // namespace pineroad::store
