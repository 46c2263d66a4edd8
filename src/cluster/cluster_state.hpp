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

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "control/mirror.hpp"
#include "control/rentals.hpp"
#include "model/model.hpp"
#include "sched/picture.hpp"
#include "wire/records.hpp"

namespace pineroad::control {

// A placement, from the decision until the task is proven off its machine.
struct Slot {
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string machine;
    std::uint64_t version = 0;  // of the job's part that first holds it; starts wait until that is durable
    bool inherited = false;  // placed by an earlier term: may be there until a report under this token tells
    bool sent = false;       // a start was given in an answer of this term
    bool seen = false;       // a report of this term showed it
    model::TaskState state = model::TaskState::fetching;
    double placed_at = 0, running_since = -1;
    bool stopping = false;
    double grace_s = 0;
    bool stop_sent = false;  // by /do
};

// So many tasks of a job, whose state is one entry of a segment. A job that is not split has one part.
struct Part {
    std::string segment;  // that holds its entry; empty: none does
    std::uint64_t version = 0, durable = 0;
    [[nodiscard]] bool dirty() const { return version > durable; }
};

struct Job {
    std::optional<model::JobSpec> spec;  // nothing: only the progress of a withdrawn job is left
    std::string id;
    model::Progress record;               // placements are taken from `slots` when it is written
    std::map<std::uint32_t, Slot> slots;  // by task
    std::map<std::uint32_t, Part> parts;
    bool split = false;
    // Parts whose tasks stand only in an entry of the whole job. That entry is replaced once they have
    // entries of their own: before, a new leader would miss their placements.
    std::set<std::uint32_t> in_whole_entry;
    std::uint64_t stamp = 0, progress_stamp = 0;
    std::uint64_t version = 0;  // of its latest change
    bool cancelled = false;
    bool withdrawn = false;  // one that it depends on was cancelled: it never starts, and ends as cancelled
    bool finished = false;   // every task done; final once durable
    bool final_durable = false;
    double xfactor_at_start = 1;
    std::uint64_t gang_attempt = 0;
    bool gang_ran = false;
    std::set<std::string> failed_on;  // machines where a task of it ended in an error
    std::set<std::string> left;       // machines a member of the present gang attempt has left
    int errors = 0;
    double retry_at = 0;
    double waits_since = 0;  // the last time that nothing of it was placed
};

struct Machine {
    std::string id, type, zone, address;
    bool spot = false;
    bool up = false;         // a worker has reported in this term
    bool confirmed = false;  // ... showing this term's token
    std::uint64_t session = 0, tick = 0;
    double last_report = 0;
    double rented_at = 0;
    std::optional<double> notice_s;
    double notice_at = 0;
    bool listed = false, listed_failed = false, listed_running = false;
    double missing_since = -1;  // was listed, and is no longer
    bool faulty = false;
    std::set<std::string> error_jobs;
    int errors = 0;
    bool releasing = false;
    double idle_since = 0;
    std::vector<std::pair<Job*, std::uint32_t>> tasks;  // the slots that name it
    // Orders that its reports ignore: answers to it are lost, while its reports arrive.
    int unheeded = 0;
    double unheeded_at = 0, unconfirmed_since = -1;
    std::vector<std::pair<model::TaskId, std::uint64_t>> told_reaps;  // by the last answer
    std::deque<std::pair<std::string, double>> images;                // name and GB, latest last
    struct Exited {
        model::TaskId task;
        std::uint64_t attempt = 0, version = 0;
    };
    std::vector<Exited> exited;               // to be reaped once what they told is durable
    std::vector<model::ReportedTask> strays;  // tasks no placement speaks of
    std::vector<model::ReportedTask> early;   // what it ran when it did not show this term's token yet
};

struct Batch {
    wire::Transaction txn;
    // Versions that it makes durable: of one part, or of the whole job.
    struct Written {
        std::string job;
        std::optional<std::uint32_t> part;
        std::uint64_t version = 0;
    };
    std::vector<Written> written;
    struct Ended {
        std::string job;
        model::Ending ending;
    };
    std::vector<Ended> finals;
    std::vector<std::string> cleaned;
    std::vector<wire::records::EntryName> denied;
    std::optional<Rentals::Record> rentals;
    struct Segment {
        std::string name;
        wire::records::Sequence sequence;
        std::vector<wire::records::EntryName> entries;
    };
    std::vector<Segment> segments;  // written
    bool types = false, means = false;
};

struct DirectOrders {
    std::string address, machine;
    std::uint64_t session = 0;
    std::vector<model::Order> orders;
};

class Book {
   public:
    Book(const config::Settings& settings, const config::Tuning& tuning, std::uint64_t token,
         std::uint64_t leader_stamp, double now);

    // --- taking over ---
    // Rows that no earlier term can add to any more. Progress without a job belongs to a withdrawn one.
    // The mirror must outlive the book: it holds the dependencies between jobs.
    void load(const Mirror& mirror, double now, std::int64_t wall_ms = 0);

    // --- events of the state service ---
    void job_added(const model::JobSpec& spec, std::uint64_t stamp, double now);
    void job_cancelled(const std::string& id, double now);
    // A job before it was cancelled: it has no tasks, and its own final record is to be written.
    void job_withdrawn(const std::string& id, double now);
    // Large jobs may be written in parts: every controller reads that.
    void allow_parts();

    // --- workers ---
    // False: stale, or from a machine that is gone; nothing was learned.
    bool absorb(const model::Report& report, double now);
    // Whether everything this machine is to be told next is durable already.
    [[nodiscard]] bool settled(const std::string& machine) const;
    // It could take the smallest task that came lately: its answer may wait a little for some.
    [[nodiscard]] bool has_room(const std::string& machine, double now) const;
    // It can be told something that it has not heard yet: a start that is durable, or a stop.
    [[nodiscard]] bool has_news(const std::string& machine) const;
    std::vector<model::Order> orders_for(const std::string& machine, bool may_start, double now);
    std::vector<DirectOrders> direct_orders();

    // --- planning ---
    void tick(double now);  // silent machines, lost starts, boots that never come
    // Nothing could be heard before: silence counts from here.
    void listening_from(double now) { listening_since_ = now; }
    void plan(double now, std::int64_t wall_ms, const std::map<std::string, sched::ClassDemand>& demand);

    // --- persistence ---
    // At most `ops` changes, as the write budget allows; the more urgent first.
    std::optional<Batch> next_batch(std::size_t ops = SIZE_MAX);
    void committed(const Batch& batch, std::uint64_t epoch, double now, std::int64_t wall_ms);
    [[nodiscard]] bool dirty() const;
    // The state service refused a batch as malformed: its limits are lower than was known. What follows is
    // smaller. False: that has not helped so far.
    bool batch_refused();
    // Machines whose next orders became durable by the last commits.
    std::vector<std::string> take_ready();

    // --- cloud ---
    bool set_types(const std::vector<model::MachineType>& types);
    [[nodiscard]] bool has_rental() const { return rentals_.waiting(); }
    std::optional<model::Rental> next_rental() { return rentals_.next(); }  // durable and unanswered
    void rented(const std::string& name, const std::vector<std::string>& machines, double now);
    void rental_refused(const std::string& name, double now);
    void rental_unanswered(const std::string& name) { rentals_.unanswered(name); }
    std::vector<std::string> next_releases(double now) const;
    void released(const std::vector<std::string>& machines, double now);
    void listed(const std::vector<model::ListedMachine>& machines, double now);

    // --- looking in ---
    [[nodiscard]] std::uint64_t token() const { return token_; }
    [[nodiscard]] std::uint64_t leader_stamp() const { return leader_stamp_; }
    [[nodiscard]] const std::map<std::string, Job>& jobs() const { return jobs_; }
    [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_; }
    [[nodiscard]] double last_report() const { return last_report_; }
    [[nodiscard]] const std::vector<model::MachineType>& types() const { return types_; }

   private:
    void load_entry(const Mirror& mirror, const wire::records::EntryName& name,
                    const Mirror::Progress& progress, double now);
    void load_segments(const Mirror& mirror);
    void load_unsplit_parts(Job& job);
    using Slots = std::map<std::uint32_t, Slot>;
    Slot& add_slot(Job& job, Slot slot);
    Slot remove_slot(Job& job, Slots::iterator at);
    void exited(Job& job, Slots::iterator slot, const model::ReportedTask& t, Machine& machine, double now);
    void lose(Job& job, std::uint32_t index, const char* why);
    // Whether a report shows that orders of the last answer were carried out, or that they were not.
    struct Heeding {
        bool heeded = false, ignored = false;
    };
    void take_identity(Machine& machine, const model::Report& report, double now);
    Job* task_reported(Machine& machine, const model::ReportedTask& task, Heeding& heeding, double now);
    void done_elsewhere(Job& job, const model::ReportedTask& task);
    void missing_from_report(Machine& machine, const std::vector<std::pair<Job*, std::uint32_t>>& present,
                             Heeding& heeding);
    void save_before_notice(Machine& machine);
    void ignored_orders(Machine& machine, double now);
    void after_loss(Job& job);
    void stop(Job& job, Slot& slot, double grace_s);
    void stop_job(Job& job, double grace_s);
    void failed(Job& job, Machine& machine, double now);
    // The state of one task changed, or of the job as a whole.
    void touch(Job& job, std::uint32_t index);
    void touch(Job& job) { touch(job, 0); }
    void split(Job& job);
    // Parts but the first that have something to say: a task that is done or has a machine.
    [[nodiscard]] static std::set<std::uint32_t> further_parts(const Job& job);
    struct SlotRange {
        Slots::const_iterator first, last;
        [[nodiscard]] Slots::const_iterator begin() const { return first; }
        [[nodiscard]] Slots::const_iterator end() const { return last; }
    };
    [[nodiscard]] static SlotRange slots_of(const Job& job, std::uint32_t part);
    [[nodiscard]] static std::uint32_t part_of(const Job& job, std::uint32_t index);
    [[nodiscard]] static bool is_durable(const Job& job, const Slot& slot);
    [[nodiscard]] static std::uint64_t durable_version(const Job& job, std::uint32_t index);
    [[nodiscard]] static std::uint64_t version_of(const Job& job, std::uint32_t index);
    [[nodiscard]] std::uint32_t room_in_entry(const Job& job) const;
    [[nodiscard]] bool may_split(const model::JobSpec& spec) const;
    // The one test before every start: accepted, not over, and all that it depends on is done.
    [[nodiscard]] bool may_run(const Job& job) const;
    void compact();
    void parts_committed(const Batch::Written& written);
    void segment_committed(const Batch::Segment& written, std::uint64_t epoch);
    void end_committed(const Batch::Ended& ended, std::int64_t wall_ms);
    void forget_if_over(const std::string& id);
    void remember_image(Machine& machine, const model::JobSpec& spec);
    [[nodiscard]] bool segment_is_dead(const std::string& name) const;
    [[nodiscard]] bool ended(const Job& job) const { return job.cancelled || job.final_durable; }
    void drain(Machine& machine);
    [[nodiscard]] const char* reason_to_release(const Machine& m, bool others_fine, double now) const;
    [[nodiscard]] const char* reason_never_heard(const Machine& m, bool others_fine, double silent,
                                                 double now) const;
    void take_back_starts(double now);
    [[nodiscard]] bool usable(const Machine& m, double now) const;
    sched::Picture picture(double now, std::int64_t wall_ms,
                           const std::map<std::string, sched::ClassDemand>& demand) const;
    [[nodiscard]] sched::JobView job_view(const Job& job, double now, std::int64_t wall_ms,
                                          const std::set<model::TaskId>& strays) const;
    [[nodiscard]] sched::RunningGang gang_view(const Job& job) const;
    [[nodiscard]] sched::MachineView machine_view(const Machine& machine, const model::MachineType& type,
                                                  double now) const;
    [[nodiscard]] static std::vector<std::uint32_t> waiting_tasks(const Job& job,
                                                                  const std::set<model::TaskId>& strays);
    void count_zones(const Job& job, sched::JobView& view) const;
    [[nodiscard]] double waited_s(const Job& job, std::int64_t wall_ms) const;
    [[nodiscard]] double slack_s(const Job& job, std::int64_t wall_ms) const;
    [[nodiscard]] double expected_s(const model::JobSpec& spec) const;
    [[nodiscard]] std::int64_t wall_ms() const {
        return wall_offset_ms_ + static_cast<std::int64_t>(now_ * 1000);
    }
    [[nodiscard]] static model::Progress record_of(const Job& job, std::uint32_t part);
    [[nodiscard]] std::int64_t waits_from_ms(const Job& job) const;
    class BatchWriter;
    Machine& machine(const std::string& id);
    [[nodiscard]] const model::MachineType* type(const std::string& name) const;

    const config::Settings& settings_;
    const config::Tuning& tuning_;
    std::uint64_t token_, leader_stamp_;
    Rentals rentals_;
    double term_start_, listening_since_, last_report_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, Machine> machines_;
    std::deque<std::pair<double, std::string>> gone_order_;
    std::set<std::string> gone_;   // released machines: late reports of them mean nothing
    std::set<std::string> dirty_;  // jobs whose state is newer than what is durable
    double dirty_since_ = 0;
    bool others_listen_ = true;  // few machines hear nothing: the fault is theirs, not ours
    bool urgent_ = false;        // something waits for the next commit
    std::vector<std::pair<std::string, std::uint32_t>> untold_;  // tasks to be stopped by /do
    std::vector<std::string> ready_;
    struct Segment {
        std::uint64_t stamp = 0;
        wire::records::Sequence sequence;
        std::vector<wire::records::EntryName> entries;
    };
    std::map<std::string, Segment> segments_;
    std::map<wire::records::EntryName, int> mentions_;              // segments that hold an entry
    std::map<wire::records::EntryName, std::string> last_segment_;  // the latest of them
    std::set<wire::records::EntryName> denials_;  // of jobs that are over and still stand in a segment
    const model::DependencyGraph no_dependencies_;
    const model::DependencyGraph* dependencies_ = &no_dependencies_;  // until those of a mirror are loaded
    bool parts_allowed_ = false;
    int refused_batches_ = 0;
    std::int64_t wall_offset_ms_ = 0;
    std::uint64_t segment_count_ = 0;
    std::string free_segment(const std::vector<std::string>& taken) const;
    std::vector<model::MachineType> types_;
    std::uint64_t types_stamp_ = 0, means_stamp_ = 0;
    bool types_dirty_ = false, means_dirty_ = false;
    model::CategoryMeans means_;
    double means_written_ = 0, now_ = 0;
    std::map<std::string, double> guess_bias_;    // by class: run time seen over run time guessed
    std::optional<model::Resources> least_need_;  // of the classes that came lately, by CPUs
    double last_suspension_ = 0, last_capacity_ = 0;
};

}  // namespace pineroad::control
