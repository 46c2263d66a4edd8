/// Compares the events of a test, line by line, with the expected trace in tests/traces.
#pragma once

#include <sstream>
#include <string>

namespace pineroad::test {

/// The name of a trace that is not compared: for random tests, whose traces nobody reads.
inline constexpr const char* no_trace = "";

/// The trace of one test. The simulators write to it; its destructor compares it with the expected trace.
class Trace {
   public:
    /// `name` is the name of the file without directory and extension, or no_trace. No two tests may use the
    /// same file.
    explicit Trace(std::string name);
    ~Trace();
    Trace(const Trace&) = delete;
    Trace& operator=(const Trace&) = delete;

    /// Adds a line with its time in seconds since the start of the test.
    void note(double at_s, const std::string& line);

   private:
    std::string name_;
    std::ostringstream lines_;
};

}  // namespace pineroad::test
