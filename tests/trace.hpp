/// Kept traces: what happened in a test, line by line, compared with the file kept in tests/traces.
#pragma once

#include <sstream>
#include <string>

namespace pineroad::test {

/// The lines of one test. The simulators write to it; on its end it is compared with the kept file.
class Trace {
   public:
    /// `name` is that of the kept file, without its directory and ending; each name belongs to one test.
    explicit Trace(std::string name);
    ~Trace();
    Trace(const Trace&) = delete;
    Trace& operator=(const Trace&) = delete;

    /// A line, at so many seconds since the beginning of the test.
    void note(double at_s, const std::string& line);

   private:
    std::string name_;
    std::ostringstream lines_;
};

}  // namespace pineroad::test
