// What of the leader's picture is made durable, and how: parts of jobs in segments, the ends of jobs, and the
// records that go with them, in batches that keep to the limits of the state service.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "config/constants.hpp"
#include "control/book.hpp"

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;

// --- parts of jobs -----------------------------------------------------------------------------------------

std::uint32_t Book::part_of(const Job& job, std::uint32_t index) {
    return job.split ? index / c::part_tasks : 0;
}

std::uint64_t Book::durable_version(const Job& job, std::uint32_t index) {
    const auto part = job.parts.find(part_of(job, index));
    return part == job.parts.end() ? 0 : part->second.durable;
}

std::uint64_t Book::version_of(const Job& job, std::uint32_t index) {
    const auto part = job.parts.find(part_of(job, index));
    return part == job.parts.end() ? 0 : part->second.version;
}

bool Book::is_durable(const Job& job, const Slot& slot) {
    return slot.version <= durable_version(job, slot.index);
}

bool Book::may_split(const model::JobSpec& spec) const {
    return parts_allowed_ && spec.tasks > c::part_tasks;
}

void Book::touch(Job& job, std::uint32_t index) {
    if (job.spec && !job.split && may_split(*job.spec)) split(job);
    ++job.version;
    job.parts[part_of(job, index)].version = job.version;
    // The first part says what counts for the whole job: it is never missing beside another.
    if (Part& first = job.parts[0]; first.segment.empty()) first.version = job.version;
    if (dirty_.empty()) dirty_since_ = now_;
    dirty_.insert(job.id);
}

// What waits to be written is split at once: it may be too large to be written whole.
void Book::allow_parts() {
    if (std::exchange(parts_allowed_, true)) return;
    for (const auto& id : std::set(dirty_)) touch(jobs_.at(id));
}

std::set<std::uint32_t> Book::further_parts(const Job& job) {
    std::set<std::uint32_t> out;
    for (const auto& [index, slot] : job.slots) out.insert(index / c::part_tasks);
    for (const auto& done : job.record.done) {
        const auto last = boost::icl::last(done) / c::part_tasks;
        for (auto part = boost::icl::first(done) / c::part_tasks; part <= last; ++part) out.insert(part);
    }
    out.erase(0);
    return out;
}

Book::SlotRange Book::slots_of(const Job& job, std::uint32_t part) {
    if (!job.split) return {job.slots.begin(), job.slots.end()};
    const auto from = part * c::part_tasks;
    return {job.slots.lower_bound(from), job.slots.lower_bound(from + c::part_tasks)};
}

// What stood in one entry gets an entry for each part. What is durable stays so all the while: the entry of
// the whole job is replaced last.
void Book::split(Job& job) {
    job.split = true;
    const Part whole = job.parts[0];
    const bool has_entry = !whole.segment.empty() || job.progress_stamp != 0;
    for (const auto number : further_parts(job)) {
        Part& part = job.parts[number];
        part.durable = whole.durable;
        part.version = job.version + 1;
        if (has_entry) job.in_whole_entry.insert(number);
    }
    job.parts[0].version = ++job.version;
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

model::Progress Book::record_of(const Job& job, std::uint32_t part) {
    model::Progress p = job.record;
    if (job.split) {
        const auto from = part * c::part_tasks;
        p.partial = true;
        p.done = done_within(job.record.done, from, from + c::part_tasks);
    }
    for (const auto& [index, slot] : slots_of(job, part))
        p.placements.push_back({index, slot.attempt, slot.machine});
    return p;
}

bool Book::dirty() const {
    if (types_dirty_ || urgent_) return true;
    return !dirty_.empty() && now_ - dirty_since_ >= c::lazy_write_s;
}

// --- segments ----------------------------------------------------------------------------------------------

// A segment is needed while it says the latest of a job that goes on, or denies what an older one still says.
bool Book::segment_is_dead(const std::string& name) const {
    const auto& entries = segments_.at(name).entries;
    return std::none_of(entries.begin(), entries.end(), [&](const records::EntryName& entry) {
        if (const auto job = jobs_.find(entry.job); job != jobs_.end()) {
            const auto part = job->second.parts.find(entry.part);
            return part == job->second.parts.end() || part->second.segment == name ||
                   part->second.segment.empty();
        }
        const auto last = last_segment_.find(entry);
        return last != last_segment_.end() && last->second == name && mentions_.at(entry) > 1;
    });
}

// One that nobody needs any more is written over, so that a write serves for a removal too, and so that a
// late copy of a commit always meets a newer version of its key. Their number is bounded by the fullest
// moment.
std::string Book::free_segment(const std::vector<std::string>& taken) const {
    const auto is_taken = [&](const std::string& name) {
        return std::find(taken.begin(), taken.end(), name) != taken.end();
    };
    for (const auto& [name, s] : segments_)
        if (!is_taken(name) && segment_is_dead(name)) return name;
    for (std::size_t n = segments_.size();; ++n)
        if (auto name = fmt::format("{:04}", n); !segments_.contains(name) && !is_taken(name)) return name;
}

// Long jobs would hold on to sparse segments for ever, and these to all that was said since: the entries of
// the oldest are written anew.
void Book::compact() {
    std::size_t entries = 0;
    for (const auto& [id, job] : jobs_) entries += std::max<std::size_t>(1, job.parts.size());
    const auto a_segment = std::clamp(settings_.value_kb * 1024 / c::segment_entry_bytes, 1.0,
                                      static_cast<double>(c::segment_entries_least));
    if (static_cast<double>(segments_.size()) <=
        static_cast<double>(c::segments_least) + static_cast<double>(entries) / a_segment)
        return;
    const std::pair<const std::string, Segment>* oldest = nullptr;
    for (const auto& entry : segments_)
        if ((!oldest || entry.second.sequence < oldest->second.sequence) && !segment_is_dead(entry.first))
            oldest = &entry;
    if (!oldest) return;
    for (const auto& entry : oldest->second.entries) {
        const auto job = jobs_.find(entry.job);
        if (job == jobs_.end()) continue;
        const auto part = job->second.parts.find(entry.part);
        if (part != job->second.parts.end() && part->second.segment == oldest->first)
            touch(job->second, entry.part * c::part_tasks);
    }
}

// --- batches -----------------------------------------------------------------------------------------------

// One batch while it is put together: what is more urgent is added first, as long as there is room.
class Book::BatchWriter {
   public:
    BatchWriter(Book& book, std::size_t ops)
        : book_(book),
          limit_(
              std::clamp<std::size_t>(ops, c::least_batch, static_cast<std::size_t>(book.settings_.txn_ops))),
          value_max_(book.settings_.value_kb * 1024 * c::value_fill) {
        // The first refusal tells that the announced limits are in force; later ones, that these are lower.
        for (int i = 1; i < book.refused_batches_; ++i) {
            limit_ = std::max(limit_ / 2, c::smallest_batch);
            value_max_ = value_max_ / 2;
        }
    }

    void add_types();
    void add_rentals();
    void add_parts();
    void add_ends();
    void add_means();
    std::optional<Batch> finish();

   private:
    [[nodiscard]] bool room(std::size_t ops, std::size_t size) const {
        return batch_.txn.apply.size() + ops <= limit_ && bytes_ + size <= c::txn_bytes;
    }
    void write(const std::string& key, wire::Json value, std::uint64_t stamp, std::size_t size) {
        batch_.txn.when.push_back({key, stamp});
        batch_.txn.apply.push_back({key, std::move(value), std::nullopt});
        bytes_ += size;
    }
    void drop(const std::string& key, std::uint64_t stamp) {
        batch_.txn.when.push_back({key, stamp});
        batch_.txn.apply.push_back({key, std::nullopt, std::nullopt});
        bytes_ += 2 * key.size() + 40;
    }
    bool add_dirty_parts(bool waiting);
    bool add_part(Job& job, std::uint32_t number, const Part& part);
    [[nodiscard]] bool fits_a_value(const records::EntryName& entry, std::size_t size) const;
    void add_denials();
    void close_segment();
    [[nodiscard]] static bool starts_wait(const Job& job, std::uint32_t number, const Part& part);
    bool add_end(Job& job, model::Final final);

    Book& book_;
    std::size_t limit_;
    double value_max_;
    Batch batch_;
    std::size_t bytes_ = 0;
    // The segment that is being filled.
    boost::json::object segment_;
    std::size_t segment_bytes_ = 0;
    std::vector<records::EntryName> told_;
    std::vector<std::string> taken_;
};

void Book::BatchWriter::add_types() {
    if (!book_.types_dirty_) return;
    auto value = wire::types_json(book_.types_);
    const auto size = boost::json::serialize(value).size() + 100;
    if (static_cast<double>(size) < book_.settings_.value_kb * 1024)
        write(std::string(records::types_key), std::move(value), book_.types_stamp_, size);
    else
        spdlog::error("{} machine types do not fit one value of the state service", book_.types_.size());
    batch_.types = true;
}

void Book::BatchWriter::add_rentals() {
    auto rentals = book_.rentals_.record(value_max_);
    if (!rentals) return;
    write(std::string(records::rentals_key), rentals->value, rentals->stamp, rentals->bytes + 200);
    for (const auto& [key, stamp] : rentals->single) drop(key, stamp);
    batch_.rentals = std::move(rentals);
}

// The first part goes with the first of any part: it says what counts for the whole job.
bool Book::BatchWriter::starts_wait(const Job& job, std::uint32_t number, const Part& part) {
    const bool goes_first = number == 0 && part.segment.empty();
    const auto slots = goes_first ? SlotRange{job.slots.begin(), job.slots.end()} : slots_of(job, number);
    return std::any_of(slots.begin(), slots.end(),
                       [&](const auto& slot) { return slot.second.version > part.durable; });
}

// Placements first: starts wait for them. Jobs share segments, so that a write serves many of them; one
// record a job took more writes than the state service accepts once a second brings dozens of starts. Of the
// rest, whoever comes is served in turn, none is passed over.
void Book::BatchWriter::add_parts() {
    if (!add_dirty_parts(true) || !add_dirty_parts(false)) book_.urgent_ = true;
    add_denials();
    close_segment();
}

// Those that starts wait for, or the others. False: there is no room for more.
bool Book::BatchWriter::add_dirty_parts(bool waiting) {
    for (const auto& id : book_.dirty_) {
        Job& job = book_.jobs_.at(id);
        if (job.finished || job.withdrawn || book_.ended(job)) continue;
        for (const auto& [number, part] : job.parts) {
            if (!part.dirty() || starts_wait(job, number, part) != waiting) continue;
            // A new leader would miss the placements that stand in that entry alone.
            if (number == 0 && !job.in_whole_entry.empty()) continue;
            if (!add_part(job, number, part)) return false;
        }
    }
    return true;
}

bool Book::BatchWriter::add_part(Job& job, std::uint32_t number, const Part& part) {
    const records::EntryName entry{job.id, number};
    auto value = records::progress_json(record_of(job, number), number);
    const auto name = records::entry_name(entry);
    const auto size = boost::json::serialize(value).size() + name.size() + 10;
    if (!fits_a_value(entry, size)) return true;
    if (!told_.empty() && static_cast<double>(segment_bytes_ + size) > value_max_) close_segment();
    // The half that is left is for what users wait for.
    if (!room(2, segment_bytes_ + size + 400) || (batch_.segments.size() + 1) * 2 > limit_) return false;
    segment_bytes_ += size;
    segment_[name] = std::move(value);
    told_.push_back(entry);
    batch_.written.push_back({job.id, number, part.version});
    if (number == 0 && job.progress_stamp) {
        drop(records::progress_key(job.id), job.progress_stamp);
        batch_.cleaned.push_back(job.id);
    }
    return true;
}

// An entry that an earlier version wrote under a larger limit may not fit before it may be split. It goes by
// the limit in force, until that is refused; then its job waits for the split.
bool Book::BatchWriter::fits_a_value(const records::EntryName& entry, std::size_t size) const {
    const double present = book_.settings_.present_value_kb * 1024 * c::value_fill;
    if (static_cast<double>(size) <= value_max_) return true;
    if (book_.refused_batches_ == 0 && static_cast<double>(size) <= present) return true;
    spdlog::error("the entry {} of {} bytes does not fit a value of the state service",
                  records::entry_name(entry), size);
    return false;
}

// What has ended and still stands in an older segment is denied, where there is room.
void Book::BatchWriter::add_denials() {
    if (told_.empty()) return;
    for (const auto& entry : book_.denials_) {
        const auto name = records::entry_name(entry);
        if (static_cast<double>(segment_bytes_ + name.size() + 40) >= value_max_) break;
        segment_[name] = nullptr;
        told_.push_back(entry);
        segment_bytes_ += name.size() + 10;
        batch_.denied.push_back(entry);
    }
}

void Book::BatchWriter::close_segment() {
    if (told_.empty()) return;
    const auto name = book_.free_segment(taken_);
    const auto known = book_.segments_.find(name);
    const records::Sequence sequence{book_.token_, ++book_.segment_count_};
    write(records::segment_key(name), records::segment_json(sequence, std::move(segment_)),
          known == book_.segments_.end() ? 0 : known->second.stamp, segment_bytes_ + 200);
    batch_.segments.push_back({name, sequence, std::move(told_)});
    taken_.push_back(name);
    segment_ = {};
    told_.clear();
    segment_bytes_ = 0;
}

// Exactly what it takes: where a small batch of segments left no third change, the ends of jobs waited for
// minutes in a crowd.
bool Book::BatchWriter::add_end(Job& job, model::Final final) {
    const auto further = job.spec->dependency_records;
    if (!room((job.progress_stamp ? 3 : 2) + further, 600 + 100 * further)) return false;
    // The cancel of a user and this race on the same condition: one of the two wins.
    drop(records::job_key(job.id), job.stamp);
    for (std::uint32_t n = 1; n <= further; ++n)
        batch_.txn.apply.push_back({records::dependencies_key(job.id, n), std::nullopt, std::nullopt});
    const model::Ending ending{final, std::max<std::int64_t>(book_.wall_ms(), 0)};
    write(records::final_key(job.id), records::final_json(ending), 0, 100);
    batch_.finals.push_back({job.id, ending});
    return true;
}

// Ends of jobs: those that are done first, since others may wait for them; then those withdrawn, of which all
// nodes tell already.
void Book::BatchWriter::add_ends() {
    const std::vector<std::string> dirty(book_.dirty_.begin(), book_.dirty_.end());
    for (const bool withdrawn : {false, true})
        for (const auto& id : dirty) {
            Job& job = book_.jobs_.at(id);
            if (job.withdrawn != withdrawn) continue;
            if ((job.finished || job.withdrawn) && !book_.ended(job)) {
                if (!add_end(job, withdrawn ? model::Final::cancelled : model::Final::done)) {
                    book_.urgent_ = true;
                    return;
                }
            } else if (!book_.ended(job) || !job.slots.empty()) {
                continue;  // written above, or nothing to say until the last task is gone
            }
            if (job.slots.empty()) {
                if (job.progress_stamp) {
                    if (!room(1, 200)) return;
                    drop(records::progress_key(id), job.progress_stamp);
                }
                batch_.cleaned.push_back(id);
            }
            batch_.written.push_back({id, std::nullopt, job.version});
        }
}

void Book::BatchWriter::add_means() {
    constexpr std::size_t size = 2000;
    if (!book_.means_dirty_ || book_.now_ - book_.means_written_ <= c::means_period_s || !room(1, size))
        return;
    write(std::string(records::means_key), records::means_json(book_.means_), book_.means_stamp_, size);
    batch_.means = true;
}

std::optional<Batch> Book::BatchWriter::finish() {
    if (batch_.txn.apply.empty()) {
        // Jobs that left no trace need no transaction.
        if (!batch_.written.empty()) book_.committed(batch_, 0, book_.now_, 0);
        return std::nullopt;
    }
    batch_.txn.when.push_back({std::string(records::leader_key), book_.leader_stamp_});
    spdlog::debug("commit of {} changes ({} allowed): {} segments, {} jobs over, {} rentals; {} jobs changed",
                  batch_.txn.apply.size(), limit_, batch_.segments.size(), batch_.finals.size(),
                  batch_.rentals ? batch_.rentals->open.size() : 0, book_.dirty_.size());
    return std::move(batch_);
}

std::optional<Batch> Book::next_batch(std::size_t ops) {
    urgent_ = false;
    BatchWriter writer(*this, ops);
    writer.add_types();
    writer.add_rentals();
    writer.add_parts();
    writer.add_ends();
    writer.add_means();
    return writer.finish();
}

bool Book::batch_refused() {
    ++refused_batches_;
    urgent_ = true;
    return refused_batches_ <= c::refused_batches;
}

// --- what a commit means -----------------------------------------------------------------------------------

void Book::committed(const Batch& b, std::uint64_t epoch, double now, std::int64_t wall_ms) {
    now_ = now;
    for (const auto& written : b.written) parts_committed(written);
    for (const auto& ch : b.txn.apply)
        if (const auto id = records::under(ch.key, records::progress_prefix))
            if (const auto it = jobs_.find(*id); it != jobs_.end()) it->second.progress_stamp = 0;
    for (const auto& segment : b.segments) segment_committed(segment, epoch);
    for (const auto& entry : b.denied) denials_.erase(entry);
    for (const auto& ended : b.finals) end_committed(ended, wall_ms);
    for (const auto& id : b.cleaned) forget_if_over(id);
    if (b.rentals) rentals_.committed(*b.rentals, epoch);
    if (b.types) types_dirty_ = false, types_stamp_ = epoch;
    if (b.means) means_dirty_ = false, means_stamp_ = epoch, means_written_ = now;
    if (!dirty_.empty()) dirty_since_ = now;
    compact();
}

void Book::parts_committed(const Batch::Written& written) {
    const auto it = jobs_.find(written.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    for (auto& [number, part] : job.parts) {
        if (written.part && *written.part != number) continue;
        for (const auto& [index, s] : slots_of(job, number))
            if (s.version > part.durable && s.version <= written.version) ready_.push_back(s.machine);
        part.durable = std::max(part.durable, written.version);
        job.in_whole_entry.erase(number);
    }
    if (std::none_of(job.parts.begin(), job.parts.end(), [](const auto& p) { return p.second.dirty(); }))
        dirty_.erase(job.id);
}

void Book::segment_committed(const Batch::Segment& written, std::uint64_t epoch) {
    auto& segment = segments_[written.name];
    for (const auto& entry : segment.entries)
        if (--mentions_[entry] == 0) {
            mentions_.erase(entry);
            last_segment_.erase(entry);
            denials_.erase(entry);
        }
    segment = {epoch, written.sequence, written.entries};
    for (const auto& entry : written.entries) {
        ++mentions_[entry];
        last_segment_[entry] = written.name;
        if (const auto it = jobs_.find(entry.job); it != jobs_.end())
            it->second.parts[entry.part].segment = written.name;
    }
}

void Book::end_committed(const Batch::Ended& ended, std::int64_t wall_ms) {
    const auto it = jobs_.find(ended.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    job.final_durable = true;
    if (ended.ending.final == model::Final::cancelled) {
        job.cancelled = true;
        return;
    }
    spdlog::info("job {} done (term {})", job.id, token_);
    const double turnaround = static_cast<double>(wall_ms - waits_from_ms(job)) / 1000.0;
    auto& mean = means_[sched::category(*job.spec, tuning_)];
    mean.mean += (std::max(1.0, turnaround / std::max(job.spec->estimate_s, 1.0)) - mean.mean) /
                 static_cast<double>(++mean.count);
    means_dirty_ = true;
}

void Book::forget_if_over(const std::string& id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !ended(it->second) || !it->second.slots.empty() ||
        it->second.progress_stamp != 0)
        return;
    for (auto at = mentions_.lower_bound({id, 0}); at != mentions_.end() && at->first.job == id; ++at)
        denials_.insert(at->first);
    dirty_.erase(id);
    jobs_.erase(it);
}

std::vector<std::string> Book::take_ready() {
    return std::exchange(ready_, {});
}

}  // namespace pineroad::control
