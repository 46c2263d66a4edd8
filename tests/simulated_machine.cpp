#include "simulated_machine.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace pineroad::test {

bool SimulatedMachine::has_task_of(const std::string& job) const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [&](const SimulatedTask& task) { return task.id.job == job; });
}

std::size_t SimulatedMachine::executing_task_count() const {
    return static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const SimulatedTask& task) { return task.is_executing(); }));
}

bool CommandMessage::starts_task_of(const std::string& job) const {
    const auto message = boost::json::parse(body);
    const auto& commands = message.at("Orders").as_array();
    return std::any_of(commands.begin(), commands.end(), [&](const auto& command) {
        return command.at("Verb") == "start" && command.at("Piece").as_string().starts_with(job + "/");
    });
}

const char* name_of(model::TaskState state) {
    static const char* const names[] = {"fetching", "waiting", "running", "saving", "ended"};
    return names[static_cast<int>(state)];
}

std::string name_of(const model::TaskId& id) {
    return id.job + "/" + std::to_string(id.index);
}

}  // namespace pineroad::test
