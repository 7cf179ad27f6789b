#include "jy_platform/weights/WeightStore.h"

#include "jy_platform/consul/ConsulApi.h"

namespace jy {

namespace json = boost::json;

namespace {

constexpr int statusNotFound = 404;

Result<json::object> readObject(const HttpResponse &response)
{
    auto parsed = parseJson(response.body);
    if (!parsed || !parsed.value().is_object())
        return failure(ErrorKind::KvUnavailable, "the weight store did not return an object");
    return std::move(parsed.value().as_object());
}

} // namespace

std::unique_ptr<WeightStore> WeightStore::create(std::shared_ptr<HttpClient> http,
                                                 const WeightStoreSettings &settings)
{
    return std::unique_ptr<WeightStore>(new WeightStore(std::move(http), settings));
}

WeightStore::WeightStore(std::shared_ptr<HttpClient> http, const WeightStoreSettings &settings)
    : api_(std::make_unique<ConsulApi>(std::move(http), settings.endpoints))
    , settings_(settings)
{ }

WeightStore::~WeightStore() = default;

Result<WeightRate> WeightStore::rate()
{
    const ConsulCall call{.request = {.method = "GET", .target = "/v1/rate"},
                          .timeout = settings_.requestTimeout};
    BOOST_OUTCOME_TRY(const auto response, api_->perform(call));
    BOOST_OUTCOME_TRY(const auto object, readObject(response));
    const auto *rate = object.if_contains("bytes_per_second");
    if (rate == nullptr || !rate->is_number() || rate->to_number<double>() <= 0)
        return failure(ErrorKind::KvUnavailable, "the weight store returned no rate");
    return WeightRate{rate->to_number<double>(),
                      static_cast<std::uint32_t>(jsonNumber(object, "transfers"))};
}

Result<WeightManifest> WeightStore::manifest(const ModelId &model, const VersionId &version)
{
    const auto target =
        "/v1/weights/" + percentEncode(model.value()) + '/' + percentEncode(version.value());
    const ConsulCall call{.request = {.method = "GET", .target = target},
                          .timeout = settings_.requestTimeout};
    BOOST_OUTCOME_TRY(const auto response, api_->perform(call));
    if (response.status == statusNotFound)
        return failure(ErrorKind::UnknownModel, "the weight store has no weights at " + target);
    BOOST_OUTCOME_TRY(const auto object, readObject(response));
    const auto bytes = jsonNumber(object, "bytes");
    if (bytes == 0)
        return failure(ErrorKind::KvUnavailable, "the weight store returned no size");
    return WeightManifest{bytes};
}

} // namespace jy
