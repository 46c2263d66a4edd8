#include "sample_jobs.hpp"

namespace pineroad::test {

config::Settings settings() {
    config::Settings s;
    s.name = "c-0";
    s.zone = "a";
    s.zones = {"a", "b"};
    s.teams = {{"team", 0, 0, 0, 0}, {"owed", 64, 0, 8, 0}, {"capped", 0, 16, 0, 2}};
    s.heartbeat_period_s = 3;
    s.worker_lease_s = 36;
    s.gang_start_timeout_s = 35;
    s.gang_failure_detection_s = 4;
    s.cancellation_timeout_s = 66;
    s.max_value_kb = 8;
    s.max_transaction_changes = 12;
    s.store_writes_per_s = 20;
    return s;
}

std::vector<model::MachineType> machine_types() {
    return {{"g4", {32, 4, 256}, 100, 0.5, 12, 4, 45, {"a", "b"}},
            {"g2", {16, 2, 128}, 100, 0.5, 7, 2, 45, {"a", "b"}}};
}

model::JobSpec array_job(const std::string& id, std::uint32_t tasks) {
    model::JobSpec spec;
    spec.id = id;
    spec.job_class = "small";
    spec.team = "team";
    spec.image = "img-1";
    spec.shape = model::Shape::array;
    spec.priority = model::Priority::low;
    spec.task_count = tasks;
    spec.task_resources = {8, 1, 32};
    spec.image_gb = 5;
    spec.allows_spot = false;
    spec.estimate_s = 60;
    spec.checkpoint_interval_s = 10;
    spec.checkpoint_save_s = 2;
    return spec;
}

model::JobSpec gang_job(const std::string& id, std::uint32_t tasks) {
    auto spec = array_job(id, tasks);
    spec.job_class = "wide";
    spec.shape = model::Shape::gang;
    spec.priority = model::Priority::normal;
    spec.task_resources = {28, 4, 200};
    return spec;
}

}  // namespace pineroad::test
