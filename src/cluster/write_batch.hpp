// One transaction of the leader, and what its commit makes durable.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/provisioning_requests.hpp"
#include "model/model.hpp"
#include "wire/records.hpp"

namespace pineroad::cluster {

// A version of a job that a commit makes durable: of one shard, or of the whole job.
struct WrittenShard {
    std::string job;
    std::optional<std::uint32_t> shard;  // not set: every shard
    std::uint64_t version = 0;
};

// A job whose final state a commit writes.
struct FinishedJob {
    std::string job;
    model::JobOutcome outcome;
};

// A segment that a commit writes.
struct WrittenSegment {
    std::string name;
    wire::records::Sequence sequence;
    std::vector<wire::records::EntryName> entries;
};

// A compare-and-swap transaction, and its meaning for the cluster state once it is applied.
struct WriteBatch {
    wire::Transaction transaction;
    std::vector<WrittenShard> written_shards;
    std::vector<FinishedJob> finished_jobs;
    // Jobs that the commit removes if they are finished and have no tasks left.
    std::vector<std::string> removal_candidates;
    std::vector<wire::records::EntryName> tombstones;
    std::optional<ProvisioningRequests::Record> provisioning_requests;
    std::vector<WrittenSegment> segments;
    bool has_machine_types = false, has_category_averages = false;  // it contains their records
};

}  // namespace pineroad::cluster
