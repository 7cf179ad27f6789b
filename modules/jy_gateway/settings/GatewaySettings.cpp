#include "jy_gateway/settings/GatewaySettings.h"

#include "jy_runtime/settings/Settings.h"

namespace jy {

namespace {

using enum Presence;

} // namespace

void GatewayListenSettings::describe(SettingsVisitor &visitor)
{
    visitor.endpoint({"caller", "Requests of callers; TCP.", Required}, caller);
    visitor.endpoint({"directory", "Address lookups of callers; TCP.", Required}, directory);
    visitor.endpoint({"readiness", "Health checks of the platform; TCP.", Required}, readiness);
    visitor.endpoint({"control", "Calls from other instances; TCP.", Required}, control);
    visitor.endpoint({"peer", "Heartbeats between instances; UDP.", Required}, peer);
    visitor.endpoint({"metrics", "Metrics in the Prometheus text format; TCP.", Required}, metrics);
}

void GatewayBoundSettings::describe(SettingsVisitor &visitor)
{
    visitor.number({"graceSeconds", "Time from SIGTERM to the end of the process."}, graceSeconds,
                   {1, 3600});
    visitor.number(
        {"retrySlack", "Retries that the fleet may send in ten seconds regardless of the traffic."},
        retrySlack, {0, 1'000'000});
    visitor.count(
        {"directoryLifetimeSeconds",
         "Lifetime of a directory response; callers may cache its addresses for this time."},
        directoryLifetimeSeconds, {1, 3600});
    visitor.number({"serverHeartbeatMs",
                    "Time between two heartbeats of a backend server in the store, which removes "
                    "its entry after three missing ones."},
                   serverHeartbeatMs, {1, 600'000});
    visitor.number({"exposureShare",
                    "Fraction of a service's requests that a version may get before it has passed "
                    "its analysis."},
                   exposureShare, {0, 1});
    visitor.number(
        {"exposureSlack", "Requests that such a version may get in addition to this fraction."},
        exposureSlack, {0, 1'000'000});
}

void GatewayLimitSettings::describe(SettingsVisitor &visitor)
{
    visitor.number(
        {"processorShare",
         "Share of each core that this instance may use; the directory names instances in "
         "proportion to it."},
        processorShare, {0.001, 1});
    visitor.number(
        {"cores", "Number of cores, or the speed of one core relative to a standard core."}, cores,
        {0.001, 1024});
    visitor.number(
        {"memoryMb",
         "Memory in MB; callers may make the instance hold two fifths of it, message bodies a "
         "quarter."},
        memoryMb, {16, 1'048'576});
    visitor.number(
        {"linkMbps",
         "Bandwidth of the link in Mbit/s; instances with the widest links read the store "
         "for the others."},
        linkMbps, {0.001, 1e6});
    visitor.count({"maxPromptParts",
                   "Parts of a prompt that count for placement and quarantine; of longer prompts "
                   "the last ones."},
                  maxPromptParts, {2, 65536});
}

void GatewayDutySettings::describe(SettingsVisitor &visitor)
{
    visitor.texts({"names", "Duties of the deployment; unknown ones are left alone."}, names, 0);
    visitor.endpoint({"address", "Address for the calls of the holder of a duty."}, address);
    visitor.number({"callsPerSecond", "Calls that the platform accepts from all instances."},
                   callsPerSecond, {0.001, 1e6});
    visitor.flag(
        {"fencingRequired", "Whether the platform rejects calls with an outdated fencing token."},
        fencingRequired);
    visitor.number(
        {"leaseMs",
         "Lifetime of the holder's lease, and minimum time between acts of different holders."},
        leaseMs, {1000, 600'000});
    visitor.number({"usageWindowSeconds", "Length of a window of the usage reports."},
                   usageWindowSeconds, {0.1, 86'400});
    visitor.number(
        {"usageDueSeconds", "Time after the end of a window at which its usage report is due."},
        usageDueSeconds, {0.1, 86'400});
    visitor.rule("address", names.empty() || !address.address.empty(),
                 "an address, because names lists duties");
    visitor.rule("names", !names.empty() || address.address.empty(),
                 "at least one duty, because an address is set");
}

void GatewayAdmissionSettings::describe(SettingsVisitor &visitor)
{
    visitor.flag({"enabled",
                  "Whether instances share what the servers of a busy service can take, and let "
                  "requests wait for it; read at the start only."},
                 enabled);
    visitor.count({"maxWaiting", "Requests that may wait for the servers of one service."},
                  maxWaiting, {1, 100'000});
}

void GatewaySettings::describe(SettingsVisitor &visitor)
{
    visitor.structure({"instance", "Identity of this instance."}, instance);
    visitor.structure({"listen", "Addresses of this instance."}, listen);
    visitor.endpoint({"store", "Address of the shared store.", Required}, store);
    visitor.endpoints({"seeds", "Control addresses of other instances; may be out of date."}, seeds,
                      0);
    visitor.structure({"bounds", "Operational bounds set by the deployment."}, bounds);
    visitor.structure({"limits", "Resource limits of this instance."}, limits);
    visitor.structure({"duties", "Duties that one instance at a time performs."}, duties);
    visitor.structure({"admission", "Admission to services with too little room."}, admission);
    visitor.flag({"rollouts",
                  "Whether this instance analyzes new versions and carries out rollouts; without, "
                  "a new version gets no requests."},
                 rollouts);
    visitor.choice({"logLevel", "Minimum level of the lines logged; reread on SIGHUP."}, logLevel,
                   {"debug", "info", "warn", "error"});
}

std::string gatewaySettingsPage()
{
    return "# Settings reference of the gateway\n\n"
           "The settings file of `jygateway` is JSON with `//` and `/* */` comments and trailing "
           "commas. Unknown keys are errors. `jygateway --check` reports all errors of a file at "
           "once, and `jygateway --print-settings` prints the effective values. This page is "
           "generated: `jyctl reference gateway-settings > "
           "docs/operations/gateway-settings.md`.\n\n"
        + settingsTable<GatewaySettings>();
}

} // namespace jy
