// pineroad: a cluster scheduler. The program reads its command line and runs one command; libpineroad does
// the work.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "controller/controller.hpp"

namespace {

namespace config = pineroad::config;

// Exit status of the process. A wrong command line ends it with a status of the command line parser.
enum ExitStatus : int { exit_success = 0, exit_failure = 1, exit_invalid_settings = 2 };

struct ConfigFiles {
    std::string settings;
    std::string tuning;  // empty: the defaults
};

spdlog::level::level_enum log_level() {
    const char* variable = std::getenv("LOG_LEVEL");
    const std::string name = variable ? variable : "info";
    if (name == "error") return spdlog::level::err;
    if (name == "debug") return spdlog::level::debug;
    return spdlog::level::info;
}

void set_up_logging() {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    auto logger = std::make_shared<spdlog::logger>("pineroad", std::move(sink));
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(std::move(logger));
    spdlog::set_level(log_level());
}

config::Tuning load_tuning(const ConfigFiles& files) {
    return files.tuning.empty() ? config::Tuning{} : config::load_tuning(files.tuning);
}

// Reads the files and says that they are valid.
void check(const ConfigFiles& files) {
    config::load_settings(files.settings);
    load_tuning(files);
    std::cout << "settings are valid\n";
}

// Runs a controller until the process is killed.
void serve(const ConfigFiles& files) {
    const auto settings = config::load_settings(files.settings);
    const auto tuning = load_tuning(files);
    pineroad::controller::run(settings, tuning);
}

// Runs a command and turns its errors into an exit status.
ExitStatus run_command(void (*command)(const ConfigFiles&), const ConfigFiles& files) {
    try {
        command(files);
        return exit_success;
    } catch (const config::SettingsError& error) {
        std::cerr << "pineroad: " << error.what() << '\n';
        return exit_invalid_settings;
    } catch (const std::exception& error) {
        std::cerr << "pineroad: " << error.what() << '\n';
        return exit_failure;
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"pineroad, a cluster scheduler"};
    app.set_version_flag("--version", "pineroad " PINEROAD_VERSION);
    app.require_subcommand(1);
    ConfigFiles files;
    auto* serve_command = app.add_subcommand("serve", "run a controller until it is killed");
    auto* check_command = app.add_subcommand("check", "check the settings and exit");
    for (auto* command : {serve_command, check_command}) {
        command->add_option("--config", files.settings, "the platform's settings (TOML)")->required();
        command->add_option("--tuning", files.tuning, "operators' own settings (S-expressions)");
    }
    CLI11_PARSE(app, argc, argv);
    set_up_logging();
    return run_command(check_command->parsed() ? check : serve, files);
}
