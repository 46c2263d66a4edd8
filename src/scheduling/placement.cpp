#include "scheduling/placement.hpp"

#include <algorithm>
#include <climits>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "config/constants.hpp"
#include "scheduling/eligibility.hpp"
#include "scheduling/reservation.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::scheduling {
namespace {

// Properties of all pools for the tasks of one job, by pool index. Computed once per job rather than per
// machine.
struct PoolEvaluation {
    std::vector<double> fetch_s;      // time to fetch the job's image
    std::vector<double> price_ratio;  // price_ratio(), at most constants::max_price_ratio
    std::vector<bool> allowed;
    int eligible_pool_count = 0;
};

PoolEvaluation evaluate_pools(const Snapshot& snapshot, const model::JobSpec& spec) {
    PoolEvaluation evaluation;
    for (const auto& pool : snapshot.pools) {
        const auto& type = *pool.type;
        const bool allowed = allowed_on(spec, pool);
        evaluation.allowed.push_back(allowed);
        evaluation.eligible_pool_count += allowed && spec.task_resources.fits_in(type.capacity);
        evaluation.fetch_s.push_back(type.fetch_gb_per_s > 0 ? spec.image_gb / type.fetch_gb_per_s : 0);
        evaluation.price_ratio.push_back(
            allowed ? std::min(price_ratio(snapshot, spec, type.name, pool.spot), constants::max_price_ratio)
                    : constants::max_price_ratio);
    }
    return evaluation;
}

bool has_image(const MachineSnapshot& machine, const model::JobSpec& spec) {
    return std::find(machine.images.begin(), machine.images.end(), spec.image) != machine.images.end();
}

// Returns the additional cost, in seconds, for a job in a pipeline. Of the hundreds of small tasks of a
// stage, one or two are lost with spot machines, and the loss delays all later stages. Empty machines are
// left to job classes whose tasks need a whole machine.
double pipeline_cost_s(const MachineSnapshot& machine) {
    if (!machine.busy) return constants::pipeline_empty_cost_s;
    return machine.spot ? constants::pipeline_spot_cost_s : 0;
}

// Returns the cost, in seconds, of starting a task of the job on the machine; the machine with the lowest
// cost is chosen.
double placement_cost_s(const PoolEvaluation& evaluation, const PendingJob& job,
                        const MachineSnapshot& machine, std::size_t pool) {
    const auto& spec = *job.spec;
    double cost_s = job.in_pipeline ? pipeline_cost_s(machine) : 0;
    if (!has_image(machine, spec)) cost_s += evaluation.fetch_s[pool];
    // Prefers cheap and busy machines, so that expensive and idle ones can be released.
    cost_s += (machine.busy ? constants::price_cost_busy_s : constants::price_cost_idle_s) *
              evaluation.price_ratio[pool];
    const double unused = machine.free.gpus - spec.task_resources.gpus +
                          constants::gpus_per_free_cpu * (machine.free.cpus - spec.task_resources.cpus);
    cost_s += constants::unused_capacity_cost_s * unused;  // best fit
    return cost_s;
}

// Returns, for each kind of resource, the smallest amount that a task of any of the jobs needs.
model::Resources smallest_task(const std::vector<PendingJob*>& jobs) {
    model::Resources smallest = jobs.front()->spec->task_resources;
    for (const auto* job : jobs) {
        const auto& task = job->spec->task_resources;
        smallest.cpus = std::min(smallest.cpus, task.cpus);
        smallest.gpus = std::min(smallest.gpus, task.gpus);
        smallest.memory_gb = std::min(smallest.memory_gb, task.memory_gb);
    }
    return smallest;
}

// One round of placement over a snapshot.
class PlacementRound {
   public:
    explicit PlacementRound(Snapshot& snapshot) : snapshot_(snapshot) {}
    std::vector<PlacementDecision> run();

   private:
    // A machine with room for the smallest pending task.
    struct OpenMachine {
        MachineSnapshot* machine;
        std::size_t pool;        // index into Snapshot::pools
        int max_eligible_pools;  // jobs with more eligible pools may not use it
        bool reserved_for_gang;  // reserved for the holder of the reservation
    };
    // A machine that the current job may use: its cost in seconds, and its index in `open_machines_`.
    using Candidate = std::pair<double, std::size_t>;
    // Whether a job may use any machine or only those that have its image.
    enum class ImageRule { any_machine, image_present };
    struct AssignedTask {
        std::uint32_t index;  // index of the task in its job
        MachineSnapshot* machine;
    };

    void find_open_machines(const std::vector<PendingJob*>& queue);
    void place_reservation_holder(const std::vector<PendingJob*>& queue);
    void place_in_bands(const std::vector<PendingJob*>& queue);
    void place_job(PendingJob& job, ImageRule rule);
    void place_gang(PendingJob& job, const PoolEvaluation& evaluation);
    void place_independent_tasks(PendingJob& job, const PoolEvaluation& evaluation, ImageRule rule);

    // Assigns machines to all pending tasks of a gang, in `zone` only if it is given. If a task finds no
    // machine, nothing is assigned and the result is empty.
    std::vector<AssignedTask> assign_gang(PendingJob& job, const PoolEvaluation& evaluation,
                                          const std::string* zone);

    // Candidates: the tasks of a job are identical, so one pass over the machines builds a heap of
    // candidates. A machine that was assigned a task is pushed back onto the heap with its new cost.
    void collect_candidates(const PendingJob& job, const PoolEvaluation& evaluation, const std::string* zone,
                            ImageRule rule);
    [[nodiscard]] bool is_candidate(const OpenMachine& open, const PendingJob& job,
                                    const PoolEvaluation& evaluation, const std::string* zone,
                                    ImageRule rule) const;
    OpenMachine* pop_candidate(const PendingJob& job);
    void push_candidate(const PendingJob& job, const PoolEvaluation& evaluation, const OpenMachine& open);

    // Accounts for one task of the job on the machine: resources, zone and team usage.
    void assign(PendingJob& job, MachineSnapshot& machine);
    // Reverts assign().
    void unassign(PendingJob& job, MachineSnapshot& machine);
    // Adds the decision that an assigned task starts on the machine.
    void record_decision(const PendingJob& job, std::uint32_t index, MachineSnapshot& machine);

    Snapshot& snapshot_;
    Reservation reservation_;
    std::vector<OpenMachine> open_machines_;
    std::vector<Candidate> candidates_;  // a min-heap by cost
    std::vector<PlacementDecision> decisions_;
};

std::vector<PlacementDecision> PlacementRound::run() {
    const auto queue = pending_queue(snapshot_.jobs);
    if (queue.empty()) return {};
    reservation_ = reserve_machines(snapshot_);
    find_open_machines(queue);
    place_reservation_holder(queue);
    place_in_bands(queue);
    return std::move(decisions_);
}

// Only open machines are considered for each job, because most machines of a large cluster are full.
void PlacementRound::find_open_machines(const std::vector<PendingJob*>& queue) {
    const auto reserved = constrained_class_reservations(snapshot_);
    const auto smallest = smallest_task(queue);
    const auto pools = pool_indices(snapshot_);
    for (std::size_t i = 0; i < snapshot_.machines.size(); ++i) {
        auto& machine = snapshot_.machines[i];
        if (!machine.ready || pools[i] == snapshot_.pools.size() || !smallest.fits_in(machine.free)) continue;
        const auto found = reserved.find(machine.id);
        open_machines_.push_back({&machine, pools[i], found == reserved.end() ? INT_MAX : found->second,
                                  reservation_.machines.contains(machine.id)});
    }
}

// Reserved machines remain unused until there are enough of them. The holder is therefore placed first,
// regardless of its xfactor.
void PlacementRound::place_reservation_holder(const std::vector<PendingJob*>& queue) {
    for (auto* job : queue)
        if (job->spec->id == reservation_.job) place_job(*job, ImageRule::any_machine);
}

// Places jobs in descending order of xfactor, but within a band of similar xfactors first on machines that
// have their images: a fetch occupies a machine for half as long as a short task (docs/design.md,
// exceptions).
void PlacementRound::place_in_bands(const std::vector<PendingJob*>& queue) {
    for (std::size_t first = 0, last = 0; first < queue.size(); first = last) {
        const double min_xfactor = queue[first]->xfactor / snapshot_.tuning->image_locality_band;
        last = first + 1;
        while (last < queue.size() && queue[last]->xfactor > min_xfactor) ++last;
        const bool single_job = last - first == 1;
        for (const auto rule : {ImageRule::image_present, ImageRule::any_machine}) {
            if (single_job && rule == ImageRule::image_present) continue;
            for (std::size_t i = first; i < last; ++i)
                if (!queue[i]->pending_tasks.empty()) place_job(*queue[i], rule);
        }
    }
}

void PlacementRound::place_job(PendingJob& job, ImageRule rule) {
    const bool is_gang = job.spec->shape == model::Shape::gang;
    if (is_gang && rule == ImageRule::image_present) return;  // a gang is placed as a whole, on any machines
    const auto evaluation = evaluate_pools(snapshot_, *job.spec);
    if (is_gang)
        place_gang(job, evaluation);
    else
        place_independent_tasks(job, evaluation, rule);
}

// Places the whole gang or nothing. For a gang that must run in one zone, the first attempt considers all
// zones, and the best machine determines the zone. If this zone lacks room, each zone is tried separately.
void PlacementRound::place_gang(PendingJob& job, const PoolEvaluation& evaluation) {
    const auto& spec = *job.spec;
    if (!within_team_quota(snapshot_, spec, static_cast<double>(job.pending_tasks.size()))) return;
    auto assigned = assign_gang(job, evaluation, nullptr);
    if (assigned.empty() && spec.same_zone && job.pending_tasks.size() > 1)
        for (const auto& zone : snapshot_.settings->zones) {
            assigned = assign_gang(job, evaluation, &zone);
            if (!assigned.empty()) break;
        }
    if (assigned.empty()) return;
    for (const auto& [index, machine] : assigned) record_decision(job, index, *machine);
    job.pending_tasks.clear();
}

std::vector<PlacementRound::AssignedTask> PlacementRound::assign_gang(PendingJob& job,
                                                                      const PoolEvaluation& evaluation,
                                                                      const std::string* zone) {
    std::vector<AssignedTask> assigned;
    collect_candidates(job, evaluation, zone, ImageRule::any_machine);
    for (const auto index : job.pending_tasks) {
        const auto* open = pop_candidate(job);
        if (!open) {
            for (const auto& task : assigned) unassign(job, *task.machine);
            return {};
        }
        assign(job, *open->machine);
        assigned.push_back({index, open->machine});
        push_candidate(job, evaluation, *open);
    }
    return assigned;
}

// Places tasks of an array or service individually, as far as machines, the team's quota and the record size
// allow.
void PlacementRound::place_independent_tasks(PendingJob& job, const PoolEvaluation& evaluation,
                                             ImageRule rule) {
    std::size_t placed = 0;
    collect_candidates(job, evaluation, nullptr, rule);
    while (placed < job.pending_tasks.size() && placed < job.max_placements &&
           within_team_quota(snapshot_, *job.spec, 1)) {
        const auto* open = pop_candidate(job);
        if (!open) break;
        assign(job, *open->machine);
        record_decision(job, job.pending_tasks[placed], *open->machine);
        ++placed;
        push_candidate(job, evaluation, *open);
    }
    job.pending_tasks.erase(job.pending_tasks.begin(),
                            job.pending_tasks.begin() + static_cast<std::ptrdiff_t>(placed));
    job.max_placements -= static_cast<std::uint32_t>(placed);
}

void PlacementRound::collect_candidates(const PendingJob& job, const PoolEvaluation& evaluation,
                                        const std::string* zone, ImageRule rule) {
    candidates_.clear();
    for (std::size_t i = 0; i < open_machines_.size(); ++i)
        if (is_candidate(open_machines_[i], job, evaluation, zone, rule))
            candidates_.emplace_back(
                placement_cost_s(evaluation, job, *open_machines_[i].machine, open_machines_[i].pool), i);
    std::make_heap(candidates_.begin(), candidates_.end(), std::greater<>());
}

bool PlacementRound::is_candidate(const OpenMachine& open, const PendingJob& job,
                                  const PoolEvaluation& evaluation, const std::string* zone,
                                  ImageRule rule) const {
    const auto& machine = *open.machine;
    if (!job.spec->task_resources.fits_in(machine.free) || !evaluation.allowed[open.pool]) return false;
    if (evaluation.eligible_pool_count > open.max_eligible_pools) return false;
    if (open.reserved_for_gang && job.spec->id != reservation_.job) return false;
    if ((zone && machine.zone != *zone) || job.excluded_machines.contains(machine.id)) return false;
    return rule == ImageRule::any_machine || has_image(machine, *job.spec);
}

// Removes candidates from the heap until one is in a zone that the job may still use. Returns this machine,
// or nullptr if there is none.
PlacementRound::OpenMachine* PlacementRound::pop_candidate(const PendingJob& job) {
    while (!candidates_.empty()) {
        std::pop_heap(candidates_.begin(), candidates_.end(), std::greater<>());
        auto& open = open_machines_[candidates_.back().second];
        candidates_.pop_back();
        if (zone_allowed(job, open.machine->zone)) return &open;
    }
    return nullptr;
}

void PlacementRound::push_candidate(const PendingJob& job, const PoolEvaluation& evaluation,
                                    const OpenMachine& open) {
    if (!job.spec->task_resources.fits_in(open.machine->free)) return;
    candidates_.emplace_back(placement_cost_s(evaluation, job, *open.machine, open.pool),
                             static_cast<std::size_t>(&open - open_machines_.data()));
    std::push_heap(candidates_.begin(), candidates_.end(), std::greater<>());
}

void PlacementRound::assign(PendingJob& job, MachineSnapshot& machine) {
    const auto& task = job.spec->task_resources;
    machine.free -= task;
    ++job.tasks_by_zone[machine.zone];
    auto& usage = snapshot_.usage[job.spec->team];
    usage.cpus += task.cpus;
    usage.gpus += task.gpus;
}

void PlacementRound::unassign(PendingJob& job, MachineSnapshot& machine) {
    const auto& task = job.spec->task_resources;
    machine.free += task;
    --job.tasks_by_zone[machine.zone];
    auto& usage = snapshot_.usage[job.spec->team];
    usage.cpus -= task.cpus;
    usage.gpus -= task.gpus;
}

void PlacementRound::record_decision(const PendingJob& job, std::uint32_t index, MachineSnapshot& machine) {
    machine.busy = true;
    machine.idle_s = 0;
    if (!has_image(machine, *job.spec)) machine.images.push_back(job.spec->image);
    decisions_.push_back({job.spec->id, index, machine.id});
}

}  // namespace

std::vector<PlacementDecision> place_tasks(Snapshot& snapshot) {
    return PlacementRound(snapshot).run();
}

}  // namespace pineroad::scheduling
