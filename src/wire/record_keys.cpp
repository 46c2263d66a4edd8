#include "wire/record_keys.hpp"

namespace pineroad::wire::records {

std::string job_key(std::string_view id) {
    return std::string(job_prefix).append(id);
}

std::string progress_key(std::string_view id) {
    return std::string(progress_prefix).append(id);
}

std::string segment_key(std::string_view name) {
    return std::string(segment_prefix).append(name);
}

std::string provisioning_request_key(std::string_view name) {
    return std::string(provisioning_request_prefix).append(name);
}

std::string outcome_key(std::string_view id) {
    return std::string(outcome_prefix).append(id);
}

std::string dependencies_key(std::string_view id, std::uint32_t number) {
    return std::string(dependencies_prefix).append(id) + "/" + std::to_string(number);
}

std::optional<std::string> strip_prefix(std::string_view key, std::string_view prefix) {
    if (!key.starts_with(prefix)) return std::nullopt;
    return std::string(key.substr(prefix.size()));
}

}  // namespace pineroad::wire::records
