// The placement of one task on one machine, from the decision until it is proven that the task is not, or no
// longer, on that machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "model/model.hpp"

namespace pineroad::cluster {

// What is known about whether the task is on its machine.
//
//   planned     decided in this term; no heartbeat response has carried its start, or that response was lost
//   start_sent  a heartbeat response of this term carried the start; the next heartbeat shows whether it
//               arrived
//   inherited   placed by an earlier term; the task may be on the machine until a heartbeat with this term's
//               fencing token shows whether it is
//   confirmed   a heartbeat with this term's token showed the task
//
// A single value suffices because these states exclude each other:
// - `confirmed` comes from the worker itself, so it no longer matters whether an earlier term placed the task
//   or this term sent its start. A confirmed placement that a later heartbeat does not show is lost.
// - An inherited placement never receives a start in this term: a machine receives starts only after a
//   heartbeat with this term's token, and that heartbeat has either confirmed each inherited placement on the
//   machine or marked it lost.
enum class Presence { planned, start_sent, inherited, confirmed };

// A request to stop a task, with the time that it may take to save its progress.
struct StopRequest {
    double grace_s = 0;
    bool sent_directly = false;  // as a direct command; heartbeat responses repeat the stop in any case
};

// A placement, from the decision until it is proven that the task is not on its machine.
struct TaskPlacement {
    std::uint32_t index = 0;    // index of the task in its job
    std::uint64_t attempt = 0;  // identifies this placement to the worker
    std::string machine;
    std::uint64_t version = 0;  // first shard version that contains it; its start waits until that is durable
    Presence presence = Presence::planned;
    model::TaskState state = model::TaskState::fetching;  // as last reported
    std::optional<double> running_since_s;
    std::optional<StopRequest> stop;

    // Returns whether a heartbeat of this term showed the task.
    [[nodiscard]] bool is_confirmed() const { return presence == Presence::confirmed; }
    // Returns whether the start cannot have reached the machine, so that the task cannot be running there.
    [[nodiscard]] bool is_unsent() const { return presence == Presence::planned; }
    // Returns whether a stop was requested.
    [[nodiscard]] bool is_stopping() const { return stop.has_value(); }
    // Returns whether a stop was requested with time to save progress.
    [[nodiscard]] bool is_saving() const { return stop && stop->grace_s > 0; }

    // Records that a heartbeat response carries the start.
    void mark_start_sent() { presence = Presence::start_sent; }
    // Records that the response with the start was lost, as a heartbeat showed. That heartbeat is newer than
    // the response, so the worker can no longer execute the start, and the start may be sent again to this or
    // another machine.
    void mark_start_dropped() { presence = Presence::planned; }
    // Records that a heartbeat with this term's token shows the task. Returns whether it acknowledges a
    // start.
    bool confirm() {
        const bool acknowledges_start = presence == Presence::start_sent;
        presence = Presence::confirmed;
        return acknowledges_start;
    }
};

}  // namespace pineroad::cluster
