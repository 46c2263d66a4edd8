#include "trace.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <set>
#include <utility>

namespace pineroad::test {

namespace {

/// Names of the traces that tests of this run have written.
std::set<std::string>& used_trace_names() {
    static std::set<std::string> names;
    return names;
}

bool runs_every_test() {
    const auto& run = *::testing::UnitTest::GetInstance();
    return run.test_to_run_count() == run.total_test_count();
}

/// Fails a full test run for each file in tests/traces that no test writes: such a file checks nothing.
class UnusedTraceCheck : public ::testing::Environment {
    void SetUp() override { used_trace_names().clear(); }
    void TearDown() override {
        if (!runs_every_test()) return;
        for (const auto& file : std::filesystem::directory_iterator(PINEROAD_TRACES))
            EXPECT_TRUE(used_trace_names().contains(file.path().stem().string()))
                << "no test writes the trace " << file.path();
    }
};

const auto* const environment = ::testing::AddGlobalTestEnvironment(new UnusedTraceCheck);

std::string trace_path(const std::string& name) {
    return std::string(PINEROAD_TRACES) + "/" + name + ".trace";
}

std::string read_expected_trace(const std::string& name) {
    std::ifstream in(trace_path(name));
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace

Trace::Trace(std::string name) : name_(std::move(name)) {
    if (name_ == no_trace) return;
    EXPECT_TRUE(used_trace_names().insert(name_).second) << "two tests write the trace " << name_;
}

// With PINEROAD_KEEP_TRACES=1 the expected trace is overwritten instead; use it after an intended change.
Trace::~Trace() {
    if (name_ == no_trace) return;
    if (std::getenv("PINEROAD_KEEP_TRACES")) {
        std::ofstream(trace_path(name_)) << lines_.str();
        return;
    }
    EXPECT_EQ(read_expected_trace(name_), lines_.str())
        << "trace of " << name_ << " differs from the expected one";
}

void Trace::note(double at_s, const std::string& line) {
    lines_ << std::fixed << std::setprecision(1) << std::setw(7) << at_s << "  " << line << "\n";
}

}  // namespace pineroad::test
