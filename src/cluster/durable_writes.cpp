// What of the leader's picture is made durable, and how: parts of jobs in segments, the ends of jobs, and the
// records that go with them, in batches that keep to the limits of the state service.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
namespace records = wire::records;

// --- parts of jobs -----------------------------------------------------------------------------------------

std::uint32_t ClusterState::shard_of(const Job& job, std::uint32_t index) {
    return job.sharded ? index / c::tasks_per_shard : 0;
}

std::uint64_t ClusterState::durable_version(const Job& job, std::uint32_t index) {
    const auto shard = job.shards.find(shard_of(job, index));
    return shard == job.shards.end() ? 0 : shard->second.durable;
}

std::uint64_t ClusterState::version_of(const Job& job, std::uint32_t index) {
    const auto shard = job.shards.find(shard_of(job, index));
    return shard == job.shards.end() ? 0 : shard->second.version;
}

bool ClusterState::is_durable(const Job& job, const TaskPlacement& placement) {
    return placement.version <= durable_version(job, placement.index);
}

bool ClusterState::may_shard(const model::JobSpec& spec) const {
    return sharding_allowed_ && spec.task_count > c::tasks_per_shard;
}

void ClusterState::mark_changed(Job& job, std::uint32_t index) {
    if (job.spec && !job.sharded && may_shard(*job.spec)) sharded(job);
    ++job.version;
    job.shards[shard_of(job, index)].version = job.version;
    // The first part says what counts for the whole job: it is never missing beside another.
    if (ProgressShard& first = job.shards[0]; first.segment.empty()) first.version = job.version;
    if (changed_jobs_.empty()) changed_since_ = now_;
    changed_jobs_.insert(job.id);
}

// What waits to be written is split at once: it may be too large to be written whole.
void ClusterState::allow_sharding() {
    if (std::exchange(sharding_allowed_, true)) return;
    for (const auto& id : std::set(changed_jobs_)) mark_changed(jobs_.at(id));
}

std::set<std::uint32_t> ClusterState::further_shards(const Job& job) {
    std::set<std::uint32_t> out;
    for (const auto& [index, placement] : job.placements) out.insert(index / c::tasks_per_shard);
    for (const auto& done : job.record.done) {
        const auto last = boost::icl::last(done) / c::tasks_per_shard;
        for (auto shard = boost::icl::first(done) / c::tasks_per_shard; shard <= last; ++shard)
            out.insert(shard);
    }
    out.erase(0);
    return out;
}

ClusterState::PlacementRange ClusterState::placements_of(const Job& job, std::uint32_t shard) {
    if (!job.sharded) return {job.placements.begin(), job.placements.end()};
    const auto from = shard * c::tasks_per_shard;
    return {job.placements.lower_bound(from), job.placements.lower_bound(from + c::tasks_per_shard)};
}

// What stood in one entry gets an entry for each part. What is durable stays so all the while: the entry of
// the whole job is replaced last.
void ClusterState::sharded(Job& job) {
    job.sharded = true;
    const ProgressShard whole = job.shards[0];
    const bool has_entry = !whole.segment.empty() || job.progress_revision != 0;
    for (const auto number : further_shards(job)) {
        ProgressShard& shard = job.shards[number];
        shard.durable = whole.durable;
        shard.version = job.version + 1;
        if (has_entry) job.shards_in_unsharded_entry.insert(number);
    }
    job.shards[0].version = ++job.version;
}

namespace {
// The part of the set from `from` up to, and without, `to`.
model::TaskSet done_within(const model::TaskSet& done, std::uint32_t from, std::uint32_t to) {
    using Interval = boost::icl::discrete_interval<std::uint32_t>;
    model::TaskSet out;
    for (auto at = done.lower_bound(Interval::right_open(from, to));
         at != done.end() && boost::icl::first(*at) < to; ++at)
        out +=
            Interval::closed(std::max(boost::icl::first(*at), from), std::min(boost::icl::last(*at), to - 1));
    return out;
}
}  // namespace

model::Progress ClusterState::record_of(const Job& job, std::uint32_t shard) {
    model::Progress p = job.record;
    if (job.sharded) {
        const auto from = shard * c::tasks_per_shard;
        p.partial = true;
        p.done = done_within(job.record.done, from, from + c::tasks_per_shard);
    }
    for (const auto& [index, placement] : placements_of(job, shard))
        p.placements.push_back({index, placement.attempt, placement.machine});
    return p;
}

bool ClusterState::write_due() const {
    if (machine_types_changed_ || urgent_) return true;
    return !changed_jobs_.empty() && now_ - changed_since_ >= c::deferred_write_s;
}

// --- segments ----------------------------------------------------------------------------------------------

// A segment is needed while it says the latest of a job that goes on, or denies what an older one still says.
bool ClusterState::segment_is_unused(const std::string& name) const {
    const auto& entries = segments_.at(name).entries;
    return std::none_of(entries.begin(), entries.end(), [&](const records::EntryName& entry) {
        if (const auto job = jobs_.find(entry.job); job != jobs_.end()) {
            const auto shard = job->second.shards.find(entry.shard);
            return shard == job->second.shards.end() || shard->second.segment == name ||
                   shard->second.segment.empty();
        }
        const auto last = latest_segment_.find(entry);
        return last != latest_segment_.end() && last->second == name && segment_references_.at(entry) > 1;
    });
}

// One that nobody needs any more is written over, so that a write serves for a removal too, and so that a
// late copy of a commit always meets a newer version of its key. Their number is bounded by the fullest
// moment.
std::string ClusterState::free_segment(const std::vector<std::string>& taken) const {
    const auto is_taken = [&](const std::string& name) {
        return std::find(taken.begin(), taken.end(), name) != taken.end();
    };
    for (const auto& [name, s] : segments_)
        if (!is_taken(name) && segment_is_unused(name)) return name;
    for (std::size_t n = segments_.size();; ++n)
        if (auto name = fmt::format("{:04}", n); !segments_.contains(name) && !is_taken(name)) return name;
}

// Long jobs would hold on to sparse segments for ever, and these to all that was said since: the entries of
// the oldest are written anew.
void ClusterState::compact() {
    std::size_t entries = 0;
    for (const auto& [id, job] : jobs_) entries += std::max<std::size_t>(1, job.shards.size());
    const auto a_segment = std::clamp(settings_.value_kb * 1024 / c::segment_entry_bytes, 1.0,
                                      static_cast<double>(c::min_segment_entries));
    if (static_cast<double>(segments_.size()) <=
        static_cast<double>(c::min_segments) + static_cast<double>(entries) / a_segment)
        return;
    const std::pair<const std::string, Segment>* oldest = nullptr;
    for (const auto& entry : segments_)
        if ((!oldest || entry.second.sequence < oldest->second.sequence) && !segment_is_unused(entry.first))
            oldest = &entry;
    if (!oldest) return;
    for (const auto& entry : oldest->second.entries) {
        const auto job = jobs_.find(entry.job);
        if (job == jobs_.end()) continue;
        const auto shard = job->second.shards.find(entry.shard);
        if (shard != job->second.shards.end() && shard->second.segment == oldest->first)
            mark_changed(job->second, entry.shard * c::tasks_per_shard);
    }
}

// --- batches -----------------------------------------------------------------------------------------------

// One batch while it is put together: what is more urgent is added first, as long as there is room.
class ClusterState::BatchWriter {
   public:
    BatchWriter(ClusterState& cluster_state, std::size_t ops)
        : cluster_state_(cluster_state),
          limit_(std::clamp<std::size_t>(
              ops, c::target_batch_changes,
              static_cast<std::size_t>(cluster_state.settings_.max_transaction_changes))),
          value_max_(cluster_state.settings_.value_kb * 1024 * c::value_fill_ratio) {
        // The first refusal tells that the announced limits are in force; later ones, that these are lower.
        for (int i = 1; i < cluster_state.rejected_batches_; ++i) {
            limit_ = std::max(limit_ / 2, c::min_batch_changes);
            value_max_ = value_max_ / 2;
        }
    }

    void add_types();
    void add_rentals();
    void add_shards();
    void add_ends();
    void add_category_averages();
    std::optional<WriteBatch> finish();

   private:
    [[nodiscard]] bool room(std::size_t ops, std::size_t size) const {
        return batch_.txn.changes.size() + ops <= limit_ && bytes_ + size <= c::max_transaction_bytes;
    }
    void write(const std::string& key, wire::Json value, std::uint64_t mod_revision, std::size_t size) {
        batch_.txn.conditions.push_back({key, mod_revision});
        batch_.txn.changes.push_back({key, std::move(value), std::nullopt});
        bytes_ += size;
    }
    void drop(const std::string& key, std::uint64_t mod_revision) {
        batch_.txn.conditions.push_back({key, mod_revision});
        batch_.txn.changes.push_back({key, std::nullopt, std::nullopt});
        bytes_ += 2 * key.size() + 40;
    }
    bool add_changed_shards(bool waiting);
    bool add_shard(Job& job, std::uint32_t number, const ProgressShard& shard);
    [[nodiscard]] bool fits_a_value(const records::EntryName& entry, std::size_t size) const;
    void add_tombstones();
    void close_segment();
    [[nodiscard]] static bool starts_wait(const Job& job, std::uint32_t number, const ProgressShard& shard);
    bool add_end(Job& job, model::FinalStatus final);

    ClusterState& cluster_state_;
    std::size_t limit_;
    double value_max_;
    WriteBatch batch_;
    std::size_t bytes_ = 0;
    // The segment that is being filled.
    boost::json::object segment_;
    std::size_t segment_bytes_ = 0;
    std::vector<records::EntryName> segment_entries_;
    std::vector<std::string> taken_segments_;
};

void ClusterState::BatchWriter::add_types() {
    if (!cluster_state_.machine_types_changed_) return;
    auto value = wire::machine_types_json(cluster_state_.machine_types_);
    const auto size = boost::json::serialize(value).size() + 100;
    if (static_cast<double>(size) < cluster_state_.settings_.value_kb * 1024)
        write(std::string(records::machine_types_key), std::move(value),
              cluster_state_.machine_types_revision_, size);
    else
        spdlog::error("{} machine types do not fit one value of the state service",
                      cluster_state_.machine_types_.size());
    batch_.machine_types = true;
}

void ClusterState::BatchWriter::add_rentals() {
    auto provisioning_requests = cluster_state_.provisioning_.record(value_max_);
    if (!provisioning_requests) return;
    write(std::string(records::provisioning_requests_key), provisioning_requests->value,
          provisioning_requests->mod_revision, provisioning_requests->bytes + 200);
    for (const auto& [key, mod_revision] : provisioning_requests->single) drop(key, mod_revision);
    batch_.provisioning_requests = std::move(provisioning_requests);
}

// The first part goes with the first of any part: it says what counts for the whole job.
bool ClusterState::BatchWriter::starts_wait(const Job& job, std::uint32_t number,
                                            const ProgressShard& shard) {
    const bool goes_first = number == 0 && shard.segment.empty();
    const auto placements = goes_first ? PlacementRange{job.placements.begin(), job.placements.end()}
                                       : placements_of(job, number);
    return std::any_of(placements.begin(), placements.end(),
                       [&](const auto& placement) { return placement.second.version > shard.durable; });
}

// Placements first: starts wait for them. Jobs share segments, so that a write serves many of them; one
// record a job took more writes than the state service accepts once a second brings dozens of starts. Of the
// rest, whoever comes is served in turn, none is passed over.
void ClusterState::BatchWriter::add_shards() {
    if (!add_changed_shards(true) || !add_changed_shards(false)) cluster_state_.urgent_ = true;
    add_tombstones();
    close_segment();
}

// Those that starts wait for, or the others. False: there is no room for more.
bool ClusterState::BatchWriter::add_changed_shards(bool waiting) {
    for (const auto& id : cluster_state_.changed_jobs_) {
        Job& job = cluster_state_.jobs_.at(id);
        if (job.finished || job.cancelled_by_dependency || job.is_over()) continue;
        for (const auto& [number, shard] : job.shards) {
            if (!shard.is_changed() || starts_wait(job, number, shard) != waiting) continue;
            // A new leader would miss the placements that stand in that entry alone.
            if (number == 0 && !job.shards_in_unsharded_entry.empty()) continue;
            if (!add_shard(job, number, shard)) return false;
        }
    }
    return true;
}

bool ClusterState::BatchWriter::add_shard(Job& job, std::uint32_t number, const ProgressShard& shard) {
    const records::EntryName entry{job.id, number};
    auto value = records::progress_json(record_of(job, number), number);
    const auto name = records::entry_name(entry);
    const auto size = boost::json::serialize(value).size() + name.size() + 10;
    if (!fits_a_value(entry, size)) return true;
    if (!segment_entries_.empty() && static_cast<double>(segment_bytes_ + size) > value_max_) close_segment();
    // The half that is left is for what users wait for.
    if (!room(2, segment_bytes_ + size + 400) || (batch_.segments.size() + 1) * 2 > limit_) return false;
    segment_bytes_ += size;
    segment_[name] = std::move(value);
    segment_entries_.push_back(entry);
    batch_.written_shards.push_back({job.id, number, shard.version});
    if (number == 0 && job.progress_revision) {
        drop(records::progress_key(job.id), job.progress_revision);
        batch_.removed_jobs.push_back(job.id);
    }
    return true;
}

// An entry that an earlier version wrote under a larger limit may not fit before it may be split. It goes by
// the limit in force, until that is refused; then its job waits for the split.
bool ClusterState::BatchWriter::fits_a_value(const records::EntryName& entry, std::size_t size) const {
    const double present = cluster_state_.settings_.current_value_kb * 1024 * c::value_fill_ratio;
    if (static_cast<double>(size) <= value_max_) return true;
    if (cluster_state_.rejected_batches_ == 0 && static_cast<double>(size) <= present) return true;
    spdlog::error("the entry {} of {} bytes does not fit a value of the state service",
                  records::entry_name(entry), size);
    return false;
}

// What has ended and still stands in an older segment is denied, where there is room.
void ClusterState::BatchWriter::add_tombstones() {
    if (segment_entries_.empty()) return;
    for (const auto& entry : cluster_state_.pending_tombstones_) {
        const auto name = records::entry_name(entry);
        if (static_cast<double>(segment_bytes_ + name.size() + 40) >= value_max_) break;
        segment_[name] = nullptr;
        segment_entries_.push_back(entry);
        segment_bytes_ += name.size() + 10;
        batch_.tombstones.push_back(entry);
    }
}

void ClusterState::BatchWriter::close_segment() {
    if (segment_entries_.empty()) return;
    const auto name = cluster_state_.free_segment(taken_segments_);
    const auto known = cluster_state_.segments_.find(name);
    const records::Sequence sequence{cluster_state_.fencing_token_, ++cluster_state_.segment_count_};
    write(records::segment_key(name), records::segment_json(sequence, std::move(segment_)),
          known == cluster_state_.segments_.end() ? 0 : known->second.mod_revision, segment_bytes_ + 200);
    batch_.segments.push_back({name, sequence, std::move(segment_entries_)});
    taken_segments_.push_back(name);
    segment_ = {};
    segment_entries_.clear();
    segment_bytes_ = 0;
}

// Exactly what it takes: where a small batch of segments left no third change, the ends of jobs waited for
// minutes in a crowd.
bool ClusterState::BatchWriter::add_end(Job& job, model::FinalStatus final) {
    const auto further = job.spec->dependency_records;
    if (!room((job.progress_revision ? 3 : 2) + further, 600 + 100 * further)) return false;
    // The cancel of a user and this race on the same condition: one of the two wins.
    drop(records::job_key(job.id), job.mod_revision);
    for (std::uint32_t n = 1; n <= further; ++n)
        batch_.txn.changes.push_back({records::dependencies_key(job.id, n), std::nullopt, std::nullopt});
    const model::JobOutcome ending{final, std::max<std::int64_t>(cluster_state_.wall_ms(), 0)};
    write(records::outcome_key(job.id), records::outcome_json(ending), 0, 100);
    batch_.finished_jobs.push_back({job.id, ending});
    return true;
}

// Ends of jobs: those that are done first, since others may wait for them; then those withdrawn, of which all
// nodes tell already.
void ClusterState::BatchWriter::add_ends() {
    const std::vector<std::string> dirty(cluster_state_.changed_jobs_.begin(),
                                         cluster_state_.changed_jobs_.end());
    for (const bool cancelled_by_dependency : {false, true})
        for (const auto& id : dirty) {
            Job& job = cluster_state_.jobs_.at(id);
            if (job.cancelled_by_dependency != cancelled_by_dependency) continue;
            if ((job.finished || job.cancelled_by_dependency) && !job.is_over()) {
                if (!add_end(job, cancelled_by_dependency ? model::FinalStatus::cancelled
                                                          : model::FinalStatus::done)) {
                    cluster_state_.urgent_ = true;
                    return;
                }
            } else if (!job.is_over() || !job.placements.empty()) {
                continue;  // written above, or nothing to say until the last task is gone
            }
            if (job.placements.empty()) {
                if (job.progress_revision) {
                    if (!room(1, 200)) return;
                    drop(records::progress_key(id), job.progress_revision);
                }
                batch_.removed_jobs.push_back(id);
            }
            batch_.written_shards.push_back({id, std::nullopt, job.version});
        }
}

void ClusterState::BatchWriter::add_category_averages() {
    constexpr std::size_t size = 2000;
    if (!cluster_state_.averages_changed_ ||
        cluster_state_.now_ - cluster_state_.averages_written_at_ <= c::category_averages_period_s ||
        !room(1, size))
        return;
    write(std::string(records::category_averages_key),
          records::category_averages_json(cluster_state_.category_averages_),
          cluster_state_.averages_revision_, size);
    batch_.category_averages = true;
}

std::optional<WriteBatch> ClusterState::BatchWriter::finish() {
    if (batch_.txn.changes.empty()) {
        // Jobs that left no trace need no transaction.
        if (!batch_.written_shards.empty()) cluster_state_.apply_commit(batch_, 0, cluster_state_.now_, 0);
        return std::nullopt;
    }
    batch_.txn.conditions.push_back({std::string(records::leader_key), cluster_state_.leader_revision_});
    spdlog::debug("commit of {} changes ({} allowed): {} segments, {} jobs over, {} rentals; {} jobs changed",
                  batch_.txn.changes.size(), limit_, batch_.segments.size(), batch_.finished_jobs.size(),
                  batch_.provisioning_requests ? batch_.provisioning_requests->open.size() : 0,
                  cluster_state_.changed_jobs_.size());
    return std::move(batch_);
}

std::optional<WriteBatch> ClusterState::next_write_batch(std::size_t ops) {
    urgent_ = false;
    BatchWriter writer(*this, ops);
    writer.add_types();
    writer.add_rentals();
    writer.add_shards();
    writer.add_ends();
    writer.add_category_averages();
    return writer.finish();
}

bool ClusterState::reject_write_batch() {
    ++rejected_batches_;
    urgent_ = true;
    return rejected_batches_ <= c::max_rejected_batches;
}

// --- what a commit means -----------------------------------------------------------------------------------

void ClusterState::apply_commit(const WriteBatch& b, std::uint64_t revision, double now,
                                std::int64_t wall_ms) {
    now_ = now;
    for (const auto& written : b.written_shards) shards_committed(written);
    for (const auto& ch : b.txn.changes)
        if (const auto id = records::under(ch.key, records::progress_prefix))
            if (const auto it = jobs_.find(*id); it != jobs_.end()) it->second.progress_revision = 0;
    for (const auto& segment : b.segments) segment_committed(segment, revision);
    for (const auto& entry : b.tombstones) pending_tombstones_.erase(entry);
    for (const auto& ended : b.finished_jobs) end_committed(ended, wall_ms);
    for (const auto& id : b.removed_jobs) remove_if_over(id);
    if (b.provisioning_requests) provisioning_.apply_commit(*b.provisioning_requests, revision);
    if (b.machine_types) machine_types_changed_ = false, machine_types_revision_ = revision;
    if (b.category_averages)
        averages_changed_ = false, averages_revision_ = revision, averages_written_at_ = now;
    if (!changed_jobs_.empty()) changed_since_ = now;
    compact();
}

void ClusterState::shards_committed(const WrittenShard& written) {
    const auto it = jobs_.find(written.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    for (auto& [number, shard] : job.shards) {
        if (written.shard && *written.shard != number) continue;
        for (const auto& [index, s] : placements_of(job, number))
            if (s.version > shard.durable && s.version <= written.version)
                machines_with_durable_starts_.push_back(s.machine);
        shard.durable = std::max(shard.durable, written.version);
        job.shards_in_unsharded_entry.erase(number);
    }
    if (std::none_of(job.shards.begin(), job.shards.end(),
                     [](const auto& p) { return p.second.is_changed(); }))
        changed_jobs_.erase(job.id);
}

void ClusterState::segment_committed(const WrittenSegment& written, std::uint64_t revision) {
    auto& segment = segments_[written.name];
    for (const auto& entry : segment.entries)
        if (--segment_references_[entry] == 0) {
            segment_references_.erase(entry);
            latest_segment_.erase(entry);
            pending_tombstones_.erase(entry);
        }
    segment = {revision, written.sequence, written.entries};
    for (const auto& entry : written.entries) {
        ++segment_references_[entry];
        latest_segment_[entry] = written.name;
        if (const auto it = jobs_.find(entry.job); it != jobs_.end())
            it->second.shards[entry.shard].segment = written.name;
    }
}

void ClusterState::end_committed(const FinishedJob& ended, std::int64_t wall_ms) {
    const auto it = jobs_.find(ended.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    job.final_durable = true;
    if (ended.outcome.status == model::FinalStatus::cancelled) {
        job.cancelled = true;
        return;
    }
    spdlog::info("job {} done (term {})", job.id, fencing_token_);
    const double turnaround = static_cast<double>(wall_ms - waiting_since_ms(job)) / 1000.0;
    auto& mean = category_averages_[scheduling::category(*job.spec, tuning_)];
    mean.mean += (std::max(1.0, turnaround / std::max(job.spec->estimate_s, 1.0)) - mean.mean) /
                 static_cast<double>(++mean.count);
    averages_changed_ = true;
}

void ClusterState::remove_if_over(const std::string& id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !it->second.is_over() || !it->second.placements.empty() ||
        it->second.progress_revision != 0)
        return;
    for (auto at = segment_references_.lower_bound({id, 0});
         at != segment_references_.end() && at->first.job == id; ++at)
        pending_tombstones_.insert(at->first);
    changed_jobs_.erase(id);
    jobs_.erase(it);
}

std::vector<std::string> ClusterState::take_machines_with_durable_starts() {
    return std::exchange(machines_with_durable_starts_, {});
}

}  // namespace pineroad::cluster
