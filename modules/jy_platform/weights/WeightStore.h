#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_runtime/settings/RouterSettings.h"

#include <cstdint>
#include <memory>

namespace jy {

class ConsulApi;
class HttpClient;

/** Rate of the weight store, shared by all transfers. */
struct WeightRate
{
    double bytesPerSecond = 0;

    /** Transfers in progress. */
    std::uint32_t transfers = 0;
};

/** Size of the weights of a version. */
struct WeightManifest
{
    std::uint64_t bytes = 0;
};

/**
 * Adapter for the weight store. Routers only plan with it; engines fetch the weights.
 *
 * - `GET /v1/rate` returns `{"bytes_per_second": number, "transfers": number}`.
 * - `GET /v1/weights/MODEL/VERSION` returns `{"bytes": number}`, or 404 for an unknown version.
 *
 * Errors: KvUnavailable when the store cannot be reached or its answer is not usable;
 * UnknownModel for an unknown version.
 */
class WeightStore
{
public:
    static std::unique_ptr<WeightStore> create(std::shared_ptr<HttpClient> http,
                                               const WeightStoreSettings &settings);

    WeightStore(const WeightStore &) = delete;
    WeightStore &operator=(const WeightStore &) = delete;
    ~WeightStore();

    Result<WeightRate> rate();
    Result<WeightManifest> manifest(const ModelId &model, const VersionId &version);

private:
    WeightStore(std::shared_ptr<HttpClient> http, const WeightStoreSettings &settings);

    std::unique_ptr<ConsulApi> api_;
    WeightStoreSettings settings_;
};

} // namespace jy
