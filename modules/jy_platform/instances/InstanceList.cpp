#include "jy_platform/instances/InstanceList.h"

#include "jy_platform/consul/ConsulApi.h"

#include <boost/json/array.hpp>

#include <charconv>
#include <limits>

namespace jy {

namespace json = boost::json;

namespace {

constexpr int statusNotFound = 404;

std::optional<std::uint16_t> port(std::uint64_t value)
{
    if (value == 0 || value > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return static_cast<std::uint16_t>(value);
}

std::optional<std::uint16_t> port(const std::string &text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return port(value);
}

/** The fields that all instances share. */
struct Listing
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;
    json::object meta;
    bool leaving = false;
};

std::optional<Listing> toListing(const json::value &value)
{
    if (!value.is_object())
        return std::nullopt;
    const auto &service = jsonObject(value.as_object(), "Service");
    Listing listing{.id = jsonText(service, "ID"), .address = jsonText(service, "Address")};
    if (listing.address.empty())
        listing.address = jsonText(jsonObject(value.as_object(), "Node"), "Address");
    const auto servicePort = port(jsonNumber(service, "Port"));
    if (listing.id.empty() || listing.address.empty() || !servicePort)
        return std::nullopt;
    listing.port = *servicePort;
    listing.meta = jsonObject(service, "Meta");
    listing.leaving = jsonText(listing.meta, "state") == "leaving";
    return listing;
}

std::optional<ListedRouter> toRouter(const Listing &listing)
{
    const auto gossip = port(jsonText(listing.meta, "gossip_port"));
    if (!gossip)
        return std::nullopt;
    return ListedRouter{InstanceId(listing.id), {listing.address, *gossip}, listing.leaving};
}

std::optional<BackendServer> toServer(const Listing &listing)
{
    BackendServer server{.id = ServerId(listing.id),
                         .endpoint = {listing.address, listing.port},
                         .domain = DomainId(jsonText(listing.meta, "domain")),
                         .region = RegionId(jsonText(listing.meta, "region")),
                         .model = ModelId(jsonText(listing.meta, "model")),
                         .version = VersionId(jsonText(listing.meta, "version")),
                         .service = ServiceId(jsonText(listing.meta, "service")),
                         .leaving = listing.leaving};
    server.kind = server.service.empty() ? ServerKind::Engine : ServerKind::Service;
    server.checksFencing = jsonText(listing.meta, "checks_fencing") != "false";
    const bool placed = !server.domain.empty() && !server.region.empty();
    const bool hasRole = server.kind == ServerKind::Service || !server.model.empty();
    if (!placed || !hasRole)
        return std::nullopt;
    return server;
}

/** Reads one part of the list with the given conversion. */
template <class Instance>
Result<void> readPart(ConsulApi &api, const std::string &name, std::chrono::milliseconds timeout,
                      std::optional<Instance> (*convert)(const Listing &),
                      std::vector<Instance> &instances, std::size_t &malformed)
{
    const ConsulCall call{
        .request = {.method = "GET", .target = "/v1/health/service/" + percentEncode(name)},
        .timeout = timeout};
    BOOST_OUTCOME_TRY(const auto response, api.perform(call));
    const auto parsed = parseJson(response.body);
    if (response.status == statusNotFound || !parsed || !parsed.value().is_array())
        return failure(ErrorKind::KvUnavailable, "the instance list is not readable: " + name);
    for (const auto &item : parsed.value().as_array()) {
        const auto listing = toListing(item);
        auto instance = listing ? convert(*listing) : std::nullopt;
        if (instance)
            instances.push_back(std::move(*instance));
        else
            ++malformed;
    }
    return success();
}

} // namespace

std::unique_ptr<InstanceList> InstanceList::create(std::shared_ptr<HttpClient> http,
                                                   const InstanceListSettings &settings)
{
    return std::unique_ptr<InstanceList>(new InstanceList(std::move(http), settings));
}

InstanceList::InstanceList(std::shared_ptr<HttpClient> http, const InstanceListSettings &settings)
    : api_(std::make_unique<ConsulApi>(std::move(http), settings.endpoints))
    , settings_(settings)
{ }

InstanceList::~InstanceList() = default;

Result<InstanceSnapshot> InstanceList::fetch()
{
    InstanceSnapshot snapshot;
    const auto timeout = settings_.requestTimeout;
    BOOST_OUTCOME_TRY(readPart(*api_, settings_.routerService, timeout, toRouter, snapshot.routers,
                               snapshot.malformed));
    for (const auto &name : settings_.backendServices) {
        BOOST_OUTCOME_TRY(
            readPart(*api_, name, timeout, toServer, snapshot.servers, snapshot.malformed));
    }
    return snapshot;
}

} // namespace jy
