#pragma once

// Endpoint lives in jy_base, because modules that may not use jy_core need it as well.
#include "jy_base/net/Endpoint.h"
