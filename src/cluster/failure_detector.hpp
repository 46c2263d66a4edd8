// Which machines are given up, and why.
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
    interrupted,                 // the time of its interruption notice has run out
    unlisted_and_silent,         // the cloud does not list it any more, and no heartbeat arrives
    silent_while_others_report,  // no heartbeat arrives while most machines report
    silent_past_lease,           // no heartbeat arrived for longer than its lease
    never_showed_token,          // its heartbeats never showed this term's fencing token
    quarantined,                 // its tasks fail
    unreported_with_tasks,       // has tasks of an earlier term, and has not reported in this term
    unlisted_with_tasks,         // has tasks of an earlier term, and the cloud does not list it any more
    running_without_heartbeat,   // listed as running, and has not reported in this term
    never_booted,
    receives_no_commands,  // a one-way partition: its heartbeats arrive, and answers do not reach it
    idle,
};

// Judges by the heartbeats of all machines which of them are lost. Releasing a machine needs no certainty:
// the answer to the release is the proof that nothing runs there.
class FailureDetector {
   public:
    // All arguments must outlive this object.
    FailureDetector(const TermContext& context, MachineTable& machines, TaskLifecycle& tasks)
        : context_(context), machines_(machines), tasks_(tasks), silence_start_s_(context.started_at_s) {}

    // Releases the machines that are lost, and withdraws starts that were not sent to machines that stopped
    // being usable.
    void detect();
    // No heartbeat could arrive before: silence counts from here.
    void restart_silence_timers(double now) { silence_start_s_ = now; }
    // Whether answers reach most machines. If not, the fault is on this side, and says nothing about a
    // machine.
    [[nodiscard]] bool commands_reach_most_machines() const { return commands_reach_most_machines_; }
    // Marks the machine to be released.
    void release(Machine& machine, ReleaseReason reason) const;

   private:
    // How many machines have reported in this term, and what reaches whom.
    struct ContactCounts {
        std::size_t reporting = 0;               // have reported in this term
        std::size_t in_contact = 0;              // ... and did so lately
        std::size_t not_receiving_commands = 0;  // report, and do not show what they were sent
        // Whether at least half of the machines are in contact.
        [[nodiscard]] bool most_in_contact() const { return in_contact > 0 && 2 * in_contact >= reporting; }
        // Whether few machines receive nothing. Many mean that the fault is on this side.
        [[nodiscard]] bool commands_reach_most() const;
    };
    // Counts all machines.
    [[nodiscard]] ContactCounts count_contacts() const;
    // Time without a heartbeat after which a machine counts as lost while others report.
    [[nodiscard]] double detection_timeout_s() const;
    // Time without a heartbeat after which the lease of a machine has ended.
    [[nodiscard]] double lease_timeout_s() const;
    // Why a machine is lost, or nothing. `others_report`: most machines are in contact.
    [[nodiscard]] std::optional<ReleaseReason> release_reason(const Machine& machine,
                                                              bool others_report) const;
    // The same of a machine that has reported in this term.
    [[nodiscard]] std::optional<ReleaseReason> release_reason_reporting(const Machine& machine,
                                                                        bool others_report,
                                                                        double silent_s) const;
    // The same of a machine that has not reported in this term.
    [[nodiscard]] std::optional<ReleaseReason> release_reason_unreported(const Machine& machine,
                                                                         bool others_report,
                                                                         double silent_s) const;
    // The same of one that has tasks of an earlier term.
    [[nodiscard]] std::optional<ReleaseReason> release_reason_with_inherited_tasks(const Machine& machine,
                                                                                   bool others_report,
                                                                                   double silent_s) const;
    // Starts that were not sent to machines that are not usable any more.
    void withdraw_unsent_starts();

    const TermContext& context_;
    MachineTable& machines_;
    TaskLifecycle& tasks_;
    double silence_start_s_;
    bool commands_reach_most_machines_ = true;
};

}  // namespace pineroad::cluster
