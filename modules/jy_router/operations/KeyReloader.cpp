#include "jy_router/operations/KeyReloader.h"

#include "jy_runtime/logging/Log.h"
#include "jy_runtime/settings/Settings.h"

namespace jy {

namespace {

bool holdsKeys(const std::string &name)
{
    return name == "peerKeys" || name == "operatorKeys";
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

} // namespace

KeyReloader::KeyReloader(std::string file, RouterSettings running, EventSink events)
    : file_(std::move(file))
    , running_(std::move(running))
    , events_(std::move(events))
{ }

void KeyReloader::addHook(KeyHook hook)
{
    hooks_.push_back(std::move(hook));
}

Result<void> KeyReloader::reload()
{
    BOOST_OUTCOME_TRY(const auto settings, loadSettings<RouterSettings>(file_));
    const auto changed = changedSettings(running_, settings);
    if (!changed.empty()) {
        logEvent(LogLevel::Warn, "settings-need-restart",
                 {{"file", file_}, {"keys", joined(changed)}});
    }
    for (const auto &hook : hooks_) {
        BOOST_OUTCOME_TRYV(hook(settings));
    }
    return success();
}

void KeyReloader::reloadAndReport()
{
    Result<void> result = success();
    try {
        result = reload();
    } catch (const std::exception &problem) {
        result = failure(ErrorKind::Internal, problem.what());
    }
    const auto reason = result ? std::string() : result.error().message;
    logEvent(result ? LogLevel::Info : LogLevel::Error, "keys-reloaded",
             {{"file", file_}, {"ok", result.has_value()}, {"error", reason}});
    if (events_) {
        events_({.kind = "keys-reloaded",
                 .fields = {{"ok", result ? "true" : "false"}, {"error", reason}}});
    }
}

std::vector<std::string> changedSettings(const RouterSettings &before, const RouterSettings &after)
{
    SettingsPrinter old;
    SettingsPrinter fresh;
    RouterSettings(before).describe(old);
    RouterSettings(after).describe(fresh);
    std::vector<std::string> names;
    for (const auto &entry : fresh.result()) {
        const std::string name(entry.key());
        if (!holdsKeys(name) && old.result().at(name) != entry.value())
            names.push_back(name);
    }
    return names;
}

} // namespace jy
