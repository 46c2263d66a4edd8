// Detects lost machines and decides which machines to release.
#pragma once

#include <cstddef>
#include <optional>

#include "cluster/machine_table.hpp"
#include "cluster/task_lifecycle.hpp"
#include "cluster/term_context.hpp"

namespace pineroad::cluster {

// Why a machine is released.
enum class ReleaseReason {
    listed_as_failed,
    interrupted,                   // the time of its interruption notice has run out
    unlisted_and_silent,           // the cloud no longer lists it, and no heartbeat arrives
    silent_while_others_report,    // no heartbeat arrives while most machines report
    silent_past_lease,             // no heartbeat arrived for longer than its lease
    token_unconfirmed_past_lease,  // its heartbeats lacked this term's fencing token for longer than a lease
    quarantined,                   // its tasks fail
    unreported_with_tasks,         // has tasks of an earlier term, and has not reported in this term
    unlisted_with_tasks,           // has tasks of an earlier term, and the cloud no longer lists it
    running_without_heartbeat,     // listed as running, and has not reported in this term
    never_booted,
    receives_no_commands,  // an inbound partition: its heartbeats arrive, but responses do not reach it
    idle,
};

// Decides from the heartbeats of all machines which of them are lost. A release needs no certainty, because
// its confirmation by the cloud proves that nothing runs on the machine any more.
class FailureDetector {
   public:
    // All arguments must outlive this object.
    FailureDetector(const TermContext& context, MachineTable& machines, TaskLifecycle& task_lifecycle)
        : context_(context),
          machines_(machines),
          task_lifecycle_(task_lifecycle),
          silence_start_s_(context.started_at_s) {}

    // Releases lost machines, and withdraws unsent starts from machines that are no longer schedulable.
    void detect();
    // Restarts the measurement of silence at `now`, because no heartbeat could arrive before.
    void restart_silence_timers(double now) { silence_start_s_ = now; }
    // Returns whether responses reach most machines. If not, the fault is on the controllers' side, and
    // missing acknowledgements say nothing about a single machine.
    [[nodiscard]] bool commands_reach_most_machines() const { return commands_reach_most_machines_; }
    // Marks the machine for release.
    void release(Machine& machine, ReleaseReason reason) const;

   private:
    // Numbers of machines by their contact in this term.
    struct ContactCounts {
        std::size_t reporting = 0;               // have reported in this term
        std::size_t in_contact = 0;              // of these, have reported recently
        std::size_t not_receiving_commands = 0;  // reporting, but do not reflect what they were sent
        // Returns whether at least half of the machines are in contact.
        [[nodiscard]] bool most_in_contact() const { return in_contact > 0 && 2 * in_contact >= reporting; }
        // Returns whether only a few machines receive no commands. If it is many, the fault is on the
        // controllers' side.
        [[nodiscard]] bool commands_reach_most() const;
    };
    // Counts the machines by their contact.
    [[nodiscard]] ContactCounts count_contacts() const;
    // Returns the time without a heartbeat after which a machine counts as lost while others report.
    [[nodiscard]] double detection_timeout_s() const;
    // Returns the time without a heartbeat after which the lease of a machine has ended.
    [[nodiscard]] double lease_timeout_s() const;
    // Returns why a machine must be released, or nothing. `others_report`: most machines are in contact.
    [[nodiscard]] std::optional<ReleaseReason> release_reason(const Machine& machine,
                                                              bool others_report) const;
    // Returns the same for a machine that has reported in this term. `silent_s`: time without a heartbeat.
    [[nodiscard]] std::optional<ReleaseReason> release_reason_reporting(const Machine& machine,
                                                                        bool others_report,
                                                                        double silent_s) const;
    // Returns the same for a machine that has not reported in this term.
    [[nodiscard]] std::optional<ReleaseReason> release_reason_unreported(const Machine& machine,
                                                                         bool others_report,
                                                                         double silent_s) const;
    // Returns the same for a machine that has tasks of an earlier term and has not reported in this one.
    [[nodiscard]] std::optional<ReleaseReason> release_reason_with_inherited_tasks(const Machine& machine,
                                                                                   bool others_report,
                                                                                   double silent_s) const;
    // Withdraws unsent starts on machines that are no longer schedulable, and of tasks that are to be
    // stopped.
    void withdraw_unsent_starts();

    const TermContext& context_;
    MachineTable& machines_;
    TaskLifecycle& task_lifecycle_;
    double silence_start_s_;
    bool commands_reach_most_machines_ = true;
};

}  // namespace pineroad::cluster
