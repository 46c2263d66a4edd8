// Entry point of pineroad, a cluster scheduler: parses the command line and runs one command. The scheduler
// itself is in libpineroad.
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

// Exit status of the process. After an invalid command line, it is that of the command line parser instead.
enum ExitStatus : int { exit_success = 0, exit_failure = 1, exit_invalid_settings = 2 };

// Paths of the configuration files, from the command line.
struct ConfigFiles {
    std::string settings;
    std::string tuning;  // empty: use the defaults
};

// Returns the log level named by the environment variable LOG_LEVEL; info if it is unset or unknown.
spdlog::level::level_enum log_level() {
    const char* variable = std::getenv("LOG_LEVEL");
    const std::string name = variable ? variable : "info";
    if (name == "error") return spdlog::level::err;
    if (name == "debug") return spdlog::level::debug;
    return spdlog::level::info;
}

// Makes stderr the destination of the log.
void set_up_logging() {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    auto logger = std::make_shared<spdlog::logger>("pineroad", std::move(sink));
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(std::move(logger));
    spdlog::set_level(log_level());
}

// Returns the tuning from its file, or the defaults if no file was given.
config::Tuning load_tuning(const ConfigFiles& files) {
    return files.tuning.empty() ? config::Tuning{} : config::load_tuning(files.tuning);
}

// Loads the files and reports that they are valid; throws if they are not.
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

// Runs a command and converts its exceptions into an exit status.
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
    auto* serve_command = app.add_subcommand("serve", "run a controller until the process is killed");
    auto* check_command = app.add_subcommand("check", "validate the settings and tuning files and exit");
    for (auto* command : {serve_command, check_command}) {
        command->add_option("--config", files.settings, "settings file of the platform (TOML)")->required();
        command->add_option("--tuning", files.tuning,
                            "tuning file of the operators (S-expressions); without it the defaults apply");
    }
    CLI11_PARSE(app, argc, argv);
    set_up_logging();
    return run_command(check_command->parsed() ? check : serve, files);
}
