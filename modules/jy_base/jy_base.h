#pragma once

/**
 * jy_base: vocabulary shared by every module: errors and results, typed identifiers, stable
 * hashing and time types. It depends on no other module and performs no input or output.
 */

#include "jy_base/errors/Error.h"
#include "jy_base/errors/ErrorTable.h"
#include "jy_base/hashing/StableHash.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_base/time/BootClock.h"
#include "jy_base/time/HybridClock.h"
#include "jy_base/time/TimeTypes.h"
