// What an exception does that leaves a loop of a controller.
#include "controller/spawn.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace pineroad::test {
namespace {

// Makes a string the destination of the log for the lifetime of the object.
class CapturedLog {
   public:
    CapturedLog() : previous_logger_(spdlog::default_logger()) {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(text_);
        spdlog::set_default_logger(std::make_shared<spdlog::logger>("captured", std::move(sink)));
    }
    ~CapturedLog() { spdlog::set_default_logger(previous_logger_); }
    CapturedLog(const CapturedLog&) = delete;
    CapturedLog& operator=(const CapturedLog&) = delete;
    [[nodiscard]] std::string text() const { return text_.str(); }

   private:
    std::ostringstream text_;
    std::shared_ptr<spdlog::logger> previous_logger_;
};

net::awaitable<void> failing_loop() {
    throw std::length_error("too long");
    co_return;
}

// Guards against an end of the process whose only trace is the text of the exception, which does not tell
// which loop failed.
TEST(Spawn, FailedLoopIsNamedInTheLogAndEndsTheProcess) {
    const CapturedLog log;
    net::asio::io_context io;
    controller::spawn(io, "planning", failing_loop());
    EXPECT_THROW(io.run(), std::length_error);
    EXPECT_NE(log.text().find("the planning loop failed"), std::string::npos) << log.text();
    EXPECT_NE(log.text().find("std::length_error: too long"), std::string::npos) << log.text();
}

}  // namespace
}  // namespace pineroad::test
