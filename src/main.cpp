// pineroad: a cluster scheduler. The program only reads its command line; libpineroad does the work.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "controller/controller.hpp"

namespace {

void set_up_logging() {
    auto logger =
        std::make_shared<spdlog::logger>("pineroad", std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(std::move(logger));
    const char* level = std::getenv("LOG_LEVEL");
    const std::string name = level ? level : "info";
    if (name == "error")
        spdlog::set_level(spdlog::level::err);
    else if (name == "debug")
        spdlog::set_level(spdlog::level::debug);
    else
        spdlog::set_level(spdlog::level::info);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"pineroad, a cluster scheduler"};
    app.set_version_flag("--version", "pineroad " PINEROAD_VERSION);
    app.require_subcommand(1);
    std::string config_path, tuning_path;
    auto* serve = app.add_subcommand("serve", "run a controller until it is killed");
    auto* check = app.add_subcommand("check", "check the settings and exit");
    for (auto* command : {serve, check}) {
        command->add_option("--config", config_path, "the platform's settings (TOML)")->required();
        command->add_option("--tuning", tuning_path, "operators' own settings (S-expressions)");
    }
    CLI11_PARSE(app, argc, argv);
    set_up_logging();
    try {
        const auto settings = pineroad::config::load_settings(config_path);
        const auto tuning =
            tuning_path.empty() ? pineroad::config::Tuning{} : pineroad::config::load_tuning(tuning_path);
        if (check->parsed()) {
            std::cout << "settings are valid\n";
            return 0;
        }
        pineroad::controller::run(settings, tuning);
    } catch (const pineroad::config::SettingsError& e) {
        std::cerr << "pineroad: " << e.what() << '\n';
        return 2;
    } catch (const std::exception& e) {
        std::cerr << "pineroad: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
