#include "cluster/failure_detector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
using model::MachineStatus;

namespace {
const char* release_reason_text(ReleaseReason reason) {
    switch (reason) {
        case ReleaseReason::listed_as_failed:
            return "listed as failed";
        case ReleaseReason::interrupted:
            return "its interruption notice has run out";
        case ReleaseReason::unlisted_and_silent:
            return "no longer listed and silent";
        case ReleaseReason::silent_while_others_report:
            return "silent while others report";
        case ReleaseReason::silent_past_lease:
            return "silent past its lease";
        case ReleaseReason::token_unconfirmed_past_lease:
            return "reports, but never showed this term's token";
        case ReleaseReason::quarantined:
            return "quarantined";
        case ReleaseReason::unreported_with_tasks:
            return "has tasks of an earlier term and does not report";
        case ReleaseReason::unlisted_with_tasks:
            return "has tasks of an earlier term and is not listed";
        case ReleaseReason::running_without_heartbeat:
            return "runs but does not report";
        case ReleaseReason::never_booted:
            return "never booted";
        case ReleaseReason::receives_no_commands:
            return "reports, but receives no commands";
        case ReleaseReason::idle:
            return "idle";
    }
    return "";
}
}  // namespace

void FailureDetector::release(Machine& machine, ReleaseReason reason) const {
    spdlog::info("machine {} released: {} (term {})", machine.id, release_reason_text(reason),
                 context_.fencing_token);
    machine.releasing = true;
}

void FailureDetector::detect() {
    const ContactCounts contact_counts = count_contacts();
    commands_reach_most_machines_ = contact_counts.commands_reach_most();
    for (auto& [id, machine] : machines_.all()) {
        if (machine.releasing) continue;
        // Without responses, its lease would have expired by now and its agent would have started a new
        // epoch, upon which it is released. It still reports in the same epoch, so its lease was renewed and
        // responses reach it.
        if (machine.unacknowledged.is_partitioned() &&
            machine.last_heartbeat_s - machine.unacknowledged.latest_at_s > context_.settings.worker_lease_s)
            machine.unacknowledged.reset();
        if (const auto reason = release_reason(machine, contact_counts.most_in_contact()))
            release(machine, *reason);
    }
    withdraw_unsent_starts();
    machines_.released().expire(context_.now_s);
}

bool FailureDetector::ContactCounts::commands_reach_most() const {
    return not_receiving_commands <=
           std::max<std::size_t>(c::max_machines_not_receiving_commands, reporting / 5);
}

FailureDetector::ContactCounts FailureDetector::count_contacts() const {
    ContactCounts contact_counts;
    for (const auto& [id, machine] : machines_.all()) {
        if (!machine.has_reported()) continue;
        ++contact_counts.reporting;
        if (context_.now_s - machine.last_heartbeat_s < 2 * context_.settings.heartbeat_period_s)
            ++contact_counts.in_contact;
        if (machine.unacknowledged.heartbeats > 0 || machine.older_token_since_s)
            ++contact_counts.not_receiving_commands;
    }
    return contact_counts;
}

double FailureDetector::detection_timeout_s() const {
    return c::failure_detection_periods * context_.settings.heartbeat_period_s +
           c::failure_detection_margin_s;
}

double FailureDetector::lease_timeout_s() const {
    return context_.settings.worker_lease_s + c::failure_detection_margin_s;
}

std::optional<ReleaseReason> FailureDetector::release_reason(const Machine& machine,
                                                             bool others_report) const {
    if (machine.is_listed_as(MachineStatus::failed)) return ReleaseReason::listed_as_failed;
    const double silent_s = context_.now_s - std::max(machine.last_heartbeat_s, silence_start_s_);
    return machine.has_reported() ? release_reason_reporting(machine, others_report, silent_s)
                                  : release_reason_unreported(machine, others_report, silent_s);
}

std::optional<ReleaseReason> FailureDetector::release_reason_reporting(const Machine& machine,
                                                                       bool others_report,
                                                                       double silent_s) const {
    const double now = context_.now_s;
    const double period_s = context_.settings.heartbeat_period_s;
    const auto& notice = machine.interruption_notice;
    if (notice && silent_s > period_s && now - notice->reported_at_s > notice->remaining_s + 1)
        return ReleaseReason::interrupted;
    if (machine.unlisted_since_s && silent_s > 2 * period_s) return ReleaseReason::unlisted_and_silent;
    if (silent_s > detection_timeout_s() && others_report) return ReleaseReason::silent_while_others_report;
    if (silent_s > lease_timeout_s()) return ReleaseReason::silent_past_lease;
    if (commands_reach_most_machines_ && machine.older_token_since_s &&
        now - *machine.older_token_since_s > context_.settings.worker_lease_s)
        return ReleaseReason::token_unconfirmed_past_lease;
    if (machine.quarantined && (machine.tasks.empty() || silent_s > detection_timeout_s()))
        return ReleaseReason::quarantined;
    return std::nullopt;
}

std::optional<ReleaseReason> FailureDetector::release_reason_unreported(const Machine& machine,
                                                                        bool others_report,
                                                                        double silent_s) const {
    if (!machine.tasks.empty()) return release_reason_with_inherited_tasks(machine, others_report, silent_s);
    if (machine.is_listed_as(MachineStatus::running)) {
        if (silent_s <= lease_timeout_s()) return std::nullopt;
        return ReleaseReason::running_without_heartbeat;
    }
    // The age of the machine alone is not sufficient: after a failover no machine has reported yet. In an
    // incident, a new leader released running machines 0.3 s into its term.
    const auto* type = machines_.types().find(machine.type);
    const double boot_s = std::max(c::boot_timeout_factor * (type ? type->boot_s : 0), c::min_boot_timeout_s);
    if (silent_s > detection_timeout_s() && context_.now_s - machine.provisioned_at_s > boot_s)
        return ReleaseReason::never_booted;
    return std::nullopt;
}

std::optional<ReleaseReason> FailureDetector::release_reason_with_inherited_tasks(const Machine& machine,
                                                                                  bool others_report,
                                                                                  double silent_s) const {
    const double timeout_s = others_report
                                 ? std::max(context_.settings.worker_lease_s / 2, detection_timeout_s())
                                 : lease_timeout_s();
    if (silent_s > timeout_s) return ReleaseReason::unreported_with_tasks;
    // In an incident, spot machines were interrupted while there was no leader, and the state of their tasks
    // stayed unknown for 28 s.
    if (machine.unlisted_since_s && silent_s > 1.5 * context_.settings.heartbeat_period_s)
        return ReleaseReason::unlisted_with_tasks;
    return std::nullopt;
}

void FailureDetector::withdraw_unsent_starts() {
    for (auto& [id, machine] : machines_.all()) {
        if (machine.tasks.empty()) continue;
        const bool is_schedulable = machines_.is_schedulable(machine, context_.now_s);
        for (const auto& task : std::vector(machine.tasks)) {
            const TaskPlacement& placement = task.placement();
            if (!placement.is_unsent() || (is_schedulable && !placement.is_stopping())) continue;
            task_lifecycle_.mark_lost(*task.job, task.index, LossReason::withdrawn);
        }
    }
}

}  // namespace pineroad::cluster
