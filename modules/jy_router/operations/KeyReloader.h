#pragma once

#include "jy_base/errors/Error.h"
#include "jy_runtime/events/Event.h"
#include "jy_runtime/settings/RouterSettings.h"

#include <functional>
#include <string>

namespace jy {

/**
 * Replaces keys from the settings file without a restart.
 *
 * Only keys change. When the file has other changes, they are named in the log and take effect at
 * the next start. An invalid file changes nothing.
 */
class KeyReloader
{
public:
    /** Receives the new keys; for example OperatorKeys::replace() and the peer key ring. */
    using KeyHook = std::function<Result<void>(const RouterSettings &)>;

    /**
     * @param file settings file, read again on each reload
     * @param running settings that the process started with
     */
    KeyReloader(std::string file, RouterSettings running, EventSink events);

    /** Hooks run in the order in which they were added; the first failure ends the reload. */
    void addHook(KeyHook hook);

    /** Reads the file and calls the hooks. */
    Result<void> reload();

    /** Calls reload(); logs and records its result, also when a hook throws. */
    void reloadAndReport();

private:
    std::string file_;
    RouterSettings running_;
    EventSink events_;
    std::vector<KeyHook> hooks_;
};

/** Top-level keys other than peerKeys and operatorKeys in which two settings differ. */
std::vector<std::string> changedSettings(const RouterSettings &before, const RouterSettings &after);

} // namespace jy
