// A node's copy of the live rows in the state service, kept up by watches. It may lag: whoever needs an
// answer that is no older than one already given asks for a barrier first (Node::barrier).
#pragma once

#include <boost/compute/detail/lru_cache.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/cancellation_log.hpp"
#include "model/dependency_graph.hpp"
#include "model/model.hpp"
#include "sched/picture.hpp"
#include "wire/records.hpp"

namespace pineroad::control {

template <class T>
struct Versioned {
    T value;
    std::uint64_t stamp = 0;
};

// Arrivals by class, as every node sees them: a new leader knows the demand at once.
class Demand {
   public:
    void arrived(const model::JobSpec& spec, double now);
    [[nodiscard]] std::map<std::string, sched::ClassDemand> classes(const config::Settings& settings,
                                                                    double now) const;

   private:
    struct Class {
        model::JobSpec sample;
        double first = 0;
        std::deque<double> arrivals;
    };
    std::map<std::string, Class> classes_;
};

class Mirror {
   public:
    Mirror();
    void clear();
    void apply_row(const std::string& key, const wire::Json& value, std::uint64_t stamp, double now);
    void apply_drop(const std::string& key);
    // Events of one watch answer; those already known are skipped.
    void apply(const wire::Events& events, double now);

    bool ready = false;
    std::uint64_t epoch = 0;
    std::map<std::string, Versioned<model::JobSpec>> jobs;
    struct Progress {
        model::Progress value;
        std::uint64_t stamp = 0;
        std::string segment;  // that it was read from; empty: a record of its own
    };
    using EntryName = wire::records::EntryName;
    std::map<EntryName, Progress> progress;
    struct Segment {
        wire::records::Sequence sequence;
        std::vector<EntryName> entries;  // that it holds
        std::uint64_t stamp = 0;
    };
    // Whether the placement, which stands in that entry, counts: an entry of a whole job counts for tasks
    // whose part has no entry of its own, which is later.
    [[nodiscard]] bool is_current(const EntryName& entry, const model::Placement& placement) const;
    // Tasks of a job that are done, and that have a machine.
    struct TaskCounts {
        std::uint64_t done = 0, placed = 0;
    };
    [[nodiscard]] TaskCounts task_counts(const std::string& id) const;
    std::map<std::string, Segment> segments;
    Versioned<std::vector<model::Rental>> open_rentals;
    std::map<std::string, Versioned<model::Rental>> rentals;  // records of their own, from version 0.2
    std::optional<Versioned<wire::records::Leader>> leader;
    Versioned<std::uint64_t> term;
    std::optional<Versioned<std::vector<model::MachineType>>> types;
    Versioned<model::CategoryMeans> means;
    Versioned<std::set<std::string>> format;  // controllers that read the present record format
    Demand demand;
    // Hooks of the leader.
    std::function<void(const model::JobSpec&, std::uint64_t)> on_job;
    std::function<void(const std::string&, bool fresh)> on_cancelled;
    std::function<void(const model::DependencyGraph::Change&)> on_dependencies;

    // Everything up to `epoch` is in it.
    void complete();

    // Of two parts that speak of one job the newer counts.
    void apply_segment(const std::string& name, const wire::Json& value, std::uint64_t stamp);
    // How the job ended, as far as memory tells. That includes a live job that is cancelled because one
    // before it was: it can't end in any other way, whether or not its own final record is written yet.
    std::optional<model::Final> final_of(const std::string& id);
    [[nodiscard]] const model::DependencyGraph& dependencies() const { return dependencies_; }
    // The one way by which a final state becomes known here, before anybody is told of it: by a watch, an
    // answer of the state service or a peer.
    void learn_final(const std::string& id, const model::Ending& ending, std::uint64_t revision);
    [[nodiscard]] const CancellationLog& cancellations() const { return cancellations_; }

   private:
    void add_job(model::JobSpec spec, std::uint64_t stamp, double now);
    void add_dependency_record(const std::string& name, const wire::Json& value, double now);
    [[nodiscard]] bool assemble(model::JobSpec& spec) const;
    void dependencies_changed(const model::DependencyGraph::Change& change);

    std::map<EntryName, wire::records::Sequence> latest_;  // of the segments that hold an entry
    boost::compute::detail::lru_cache<std::string, model::Ending> finals_;
    model::DependencyGraph dependencies_;
    // Further records of long lists, by job and number, and jobs whose list is not complete yet: pages of a
    // list are read one after the other.
    std::map<std::string, std::map<std::string, std::vector<std::string>>> dependency_records_;
    std::map<std::string, Versioned<model::JobSpec>> incomplete_;
    double now_ = 0;
    CancellationLog cancellations_;  // outlives a mirror that is read anew: what was told stays told
};

}  // namespace pineroad::control
