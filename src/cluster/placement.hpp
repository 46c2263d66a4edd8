// The placement of one task on one machine, from the decision until the task is proven off that machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "model/model.hpp"

namespace pineroad::cluster {

// What is known about whether the task is on its machine.
//
//   planned     decided in this term; no answer has carried its start yet, or the answer that did was dropped
//   start_sent  an answer of this term carried the start; the next heartbeat shows whether it arrived
//   inherited   placed by an earlier term: the task may be there until a heartbeat under this term's fencing
//               token tells
//   confirmed   a heartbeat under this term's token showed the task
//
// One value is enough, since each of these makes the others irrelevant:
// - `confirmed` is known from the worker itself, so it no longer matters whether an earlier term placed the
//   task or this term sent its start. A confirmed placement that a later heartbeat does not show is lost.
// - An inherited placement never gets a start of this term: a machine gets commands only after a heartbeat
//   under this term's token, and that heartbeat has turned every inherited placement there into a confirmed
//   one or marked it lost.
enum class Presence { planned, start_sent, inherited, confirmed };

// The task is to end, and may take so long to save its progress.
struct StopRequest {
    double grace_s = 0;
    bool sent_directly = false;  // by a direct command; answers to heartbeats repeat it in any case
};

// A placement, from the decision until the task is proven off its machine.
struct TaskPlacement {
    std::uint32_t index = 0;    // of the task in its job
    std::uint64_t attempt = 0;  // the number under which the worker knows this placement
    std::string machine;
    std::uint64_t version = 0;  // of the shard that first holds it; its start waits until that is durable
    Presence presence = Presence::planned;
    model::TaskState state = model::TaskState::fetching;  // as last reported
    std::optional<double> running_since_s;
    std::optional<StopRequest> stop;

    // A heartbeat of this term showed the task.
    [[nodiscard]] bool is_confirmed() const { return presence == Presence::confirmed; }
    // Nothing of the task can be on its machine.
    [[nodiscard]] bool is_unsent() const { return presence == Presence::planned; }
    // The task is to end.
    [[nodiscard]] bool is_stopping() const { return stop.has_value(); }
    // The task is to end and may save its progress first.
    [[nodiscard]] bool is_saving() const { return stop && stop->grace_s > 0; }

    // An answer to its machine carries the start.
    void mark_start_sent() { presence = Presence::start_sent; }
    // A heartbeat showed that the answer with the start was dropped. The heartbeat is newer than that answer,
    // so the start cannot be executed any more, and may be given again, here or elsewhere.
    void mark_start_dropped() { presence = Presence::planned; }
    // A heartbeat under this term's token shows the task. Returns whether it acknowledges a start.
    bool confirm() {
        const bool acknowledges_start = presence == Presence::start_sent;
        presence = Presence::confirmed;
        return acknowledges_start;
    }
};

}  // namespace pineroad::cluster
