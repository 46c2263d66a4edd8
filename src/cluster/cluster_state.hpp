// The leader's picture of one term: what is wanted, what was seen, and what of it is durable. No I/O and no
// clock: reports, events, commits and answers of the cloud come in with a time; orders, transactions and
// calls come out.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/job.hpp"
#include "cluster/machine.hpp"
#include "cluster/provisioning_requests.hpp"
#include "cluster/write_batch.hpp"
#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "model/model.hpp"
#include "scheduling/snapshot.hpp"
#include "store/watch_cache.hpp"
#include "wire/records.hpp"

namespace pineroad::cluster {

struct DirectCommands {
    std::string address, machine;
    std::uint64_t agent_epoch = 0;
    std::vector<model::Command> commands;
};

class ClusterState {
   public:
    ClusterState(const config::Settings& settings, const config::Tuning& tuning, std::uint64_t fencing_token,
                 std::uint64_t leader_revision, double now);

    // --- taking over ---
    // Rows that no earlier term can add to any more. Progress without a job belongs to a withdrawn one.
    // The mirror must outlive the book: it holds the dependencies between jobs.
    void load(const store::WatchCache& watch_cache, double now, std::int64_t wall_ms = 0);

    // --- events of the state service ---
    void job_added(const model::JobSpec& spec, std::uint64_t mod_revision, double now);
    void job_cancelled(const std::string& id, double now);
    // A job before it was cancelled: it has no tasks, and its own final record is to be written.
    void job_cancelled_by_dependency(const std::string& id, double now);
    // Large jobs may be written in parts: every controller reads that.
    void allow_sharding();

    // --- workers ---
    // False: stale, or from a machine that is gone; nothing was learned.
    bool apply_heartbeat(const model::Heartbeat& report, double now);
    // Whether everything this machine is to be told next is durable already.
    [[nodiscard]] bool placements_durable(const std::string& machine) const;
    // It could take the smallest task that came lately: its answer may wait a little for some.
    [[nodiscard]] bool has_room(const std::string& machine, double now) const;
    // It can be told something that it has not heard yet: a start that is durable, or a stop.
    [[nodiscard]] bool has_pending_commands(const std::string& machine) const;
    std::vector<model::Command> commands_for(const std::string& machine, bool may_start, double now);
    std::vector<DirectCommands> take_direct_commands();

    // --- planning ---
    void detect_failures(double now);  // silent machines, lost starts, boots that never come
    // Nothing could be heard before: silence counts from here.
    void restart_silence_timers(double now) { silence_counts_from_ = now; }
    void plan(double now, std::int64_t wall_ms, const std::map<std::string, scheduling::ClassDemand>& demand);

    // --- persistence ---
    // At most `ops` changes, as the write budget allows; the more urgent first.
    std::optional<WriteBatch> next_write_batch(std::size_t ops = SIZE_MAX);
    void apply_commit(const WriteBatch& batch, std::uint64_t revision, double now, std::int64_t wall_ms);
    [[nodiscard]] bool write_due() const;
    // The state service refused a batch as malformed: its limits are lower than was known. What follows is
    // smaller. False: that has not helped so far.
    bool reject_write_batch();
    // Machines whose next orders became durable by the last commits.
    std::vector<std::string> take_machines_with_durable_starts();

    // --- cloud ---
    bool set_machine_types(const std::vector<model::MachineType>& types);
    [[nodiscard]] bool has_provisioning_request() const { return provisioning_.has_next(); }
    std::optional<model::ProvisioningRequest> next_provisioning_request() {
        return provisioning_.next();
    }  // durable and unanswered
    void machines_provisioned(const std::string& name, const std::vector<std::string>& machines, double now);
    void provisioning_refused(const std::string& name, double now);
    void provisioning_unanswered(const std::string& name) { provisioning_.record_missing_answer(name); }
    std::vector<std::string> machines_to_release(double now) const;
    void machines_released(const std::vector<std::string>& machines, double now);
    void apply_machine_list(const std::vector<model::ListedMachine>& machines, double now);

    // --- looking in ---
    [[nodiscard]] std::uint64_t fencing_token() const { return fencing_token_; }
    [[nodiscard]] std::uint64_t leader_revision() const { return leader_revision_; }
    [[nodiscard]] const std::map<std::string, Job>& jobs() const { return jobs_; }
    [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_; }
    [[nodiscard]] double last_heartbeat() const { return last_heartbeat_; }
    [[nodiscard]] const std::vector<model::MachineType>& types() const { return machine_types_; }

   private:
    void load_entry(const store::WatchCache& watch_cache, const wire::records::EntryName& name,
                    const store::WatchCache::Progress& progress);
    void load_segments(const store::WatchCache& watch_cache);
    void load_unsharded_entries(Job& job);
    TaskPlacement& add_placement(Job& job, TaskPlacement placement);
    TaskPlacement remove_placement(Job& job, Placements::iterator at);
    void handle_exit(Job& job, Placements::iterator placement, const model::ReportedTask& t, Machine& machine,
                     double now);
    void mark_lost(Job& job, std::uint32_t index, const char* why);
    // Whether a report shows that orders of the last answer were carried out, or that they were not.
    struct CommandAcknowledgement {
        bool acknowledged = false, ignored = false;
    };
    void update_machine_identity(Machine& machine, const model::Heartbeat& report, double now);
    Job* apply_task_report(Machine& machine, const model::ReportedTask& task,
                           CommandAcknowledgement& acknowledgement, double now);
    void record_completion_elsewhere(Job& job, const model::ReportedTask& task);
    void handle_missing_placements(Machine& machine, const std::vector<PlacedTask>& present,
                                   CommandAcknowledgement& acknowledgement);
    void checkpoint_before_interruption(Machine& machine);
    void record_unacknowledged_commands(Machine& machine, double now);
    void after_loss(Job& job);
    void stop(Job& job, TaskPlacement& placement, double grace_s);
    void stop_job(Job& job, double grace_s);
    void record_failure(Job& job, Machine& machine, double now);
    // The state of one task changed, or of the job as a whole.
    void mark_changed(Job& job, std::uint32_t index);
    void mark_changed(Job& job) { mark_changed(job, 0); }
    void sharded(Job& job);
    // Parts but the first that have something to say: a task that is done or has a machine.
    [[nodiscard]] static std::set<std::uint32_t> further_shards(const Job& job);
    struct PlacementRange {
        Placements::const_iterator first, last;
        [[nodiscard]] Placements::const_iterator begin() const { return first; }
        [[nodiscard]] Placements::const_iterator end() const { return last; }
    };
    [[nodiscard]] static PlacementRange placements_of(const Job& job, std::uint32_t shard);
    [[nodiscard]] static std::uint32_t shard_of(const Job& job, std::uint32_t index);
    [[nodiscard]] static bool is_durable(const Job& job, const TaskPlacement& placement);
    [[nodiscard]] static std::uint64_t durable_version(const Job& job, std::uint32_t index);
    [[nodiscard]] static std::uint64_t version_of(const Job& job, std::uint32_t index);
    [[nodiscard]] std::uint32_t free_entry_capacity(const Job& job) const;
    [[nodiscard]] bool may_shard(const model::JobSpec& spec) const;
    // The one test before every start: accepted, not over, and all that it depends on is done.
    [[nodiscard]] bool may_run(const Job& job) const;
    void compact();
    void shards_committed(const WrittenShard& written);
    void segment_committed(const WrittenSegment& written, std::uint64_t revision);
    void end_committed(const FinishedJob& ended, std::int64_t wall_ms);
    void remove_if_over(const std::string& id);
    void remember_image(Machine& machine, const model::JobSpec& spec);
    [[nodiscard]] bool segment_is_unused(const std::string& name) const;
    void drain(Machine& machine);
    [[nodiscard]] const char* reason_to_release(const Machine& m, bool others_report, double now) const;
    [[nodiscard]] const char* reason_to_release_unseen(const Machine& m, bool others_report, double silent,
                                                       double now) const;
    void withdraw_unsent_starts(double now);
    [[nodiscard]] bool usable(const Machine& m, double now) const;
    scheduling::Snapshot snapshot(double now, std::int64_t wall_ms,
                                  const std::map<std::string, scheduling::ClassDemand>& demand) const;
    [[nodiscard]] scheduling::PendingJob pending_job(const Job& job, double now, std::int64_t wall_ms,
                                                     const std::set<model::TaskId>& unknown_tasks) const;
    [[nodiscard]] scheduling::RunningGang running_gang(const Job& job) const;
    [[nodiscard]] scheduling::MachineSnapshot machine_snapshot(const Machine& machine,
                                                               const model::MachineType& type,
                                                               double now) const;
    [[nodiscard]] static std::vector<std::uint32_t> waiting_tasks(
        const Job& job, const std::set<model::TaskId>& unknown_tasks);
    void count_zones(const Job& job, scheduling::PendingJob& view) const;
    [[nodiscard]] double waited_s(const Job& job, std::int64_t wall_ms) const;
    [[nodiscard]] double slack_s(const Job& job, std::int64_t wall_ms) const;
    [[nodiscard]] double expected_s(const model::JobSpec& spec) const;
    [[nodiscard]] std::int64_t wall_ms() const {
        return wall_offset_ms_ + static_cast<std::int64_t>(now_ * 1000);
    }
    [[nodiscard]] static model::Progress record_of(const Job& job, std::uint32_t shard);
    [[nodiscard]] std::int64_t waiting_since_ms(const Job& job) const;
    class BatchWriter;
    Machine& machine(const std::string& id);
    [[nodiscard]] const model::MachineType* type(const std::string& name) const;

    const config::Settings& settings_;
    const config::Tuning& tuning_;
    std::uint64_t fencing_token_, leader_revision_;
    ProvisioningRequests provisioning_;
    double term_start_, silence_counts_from_, last_heartbeat_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, Machine> machines_;
    std::deque<std::pair<double, std::string>> release_order_;
    std::set<std::string> released_machines_;  // released machines: late reports of them mean nothing
    std::set<std::string> changed_jobs_;       // jobs whose state is newer than what is durable
    double changed_since_ = 0;
    bool commands_reach_others_ = true;  // few machines hear nothing: the fault is theirs, not ours
    bool urgent_ = false;                // something waits for the next commit
    std::vector<std::pair<std::string, std::uint32_t>> unsent_stops_;  // tasks to be stopped by /do
    std::vector<std::string> machines_with_durable_starts_;
    struct Segment {
        std::uint64_t mod_revision = 0;
        wire::records::Sequence sequence;
        std::vector<wire::records::EntryName> entries;
    };
    std::map<std::string, Segment> segments_;
    std::map<wire::records::EntryName, int> segment_references_;      // segments that hold an entry
    std::map<wire::records::EntryName, std::string> latest_segment_;  // the latest of them
    std::set<wire::records::EntryName>
        pending_tombstones_;  // of jobs that are over and still stand in a segment
    const model::DependencyGraph no_dependencies_;
    const model::DependencyGraph* dependencies_ = &no_dependencies_;  // until those of a mirror are loaded
    bool sharding_allowed_ = false;
    int rejected_batches_ = 0;
    std::int64_t wall_offset_ms_ = 0;
    std::uint64_t segment_count_ = 0;
    std::string free_segment(const std::vector<std::string>& taken) const;
    std::vector<model::MachineType> machine_types_;
    std::uint64_t machine_types_revision_ = 0, averages_revision_ = 0;
    bool machine_types_changed_ = false, averages_changed_ = false;
    model::CategoryAverages category_averages_;
    double averages_written_at_ = 0, now_ = 0;
    std::map<std::string, double> estimate_bias_;  // by class: run time seen over run time guessed
    std::optional<model::Resources> smallest_recent_request_;  // of the classes that came lately, by CPUs
    double last_preemption_ = 0, last_capacity_ = 0;
};

}  // namespace pineroad::cluster
