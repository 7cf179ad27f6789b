// Boost.JSON, compiled once for all cases.
#include <boost/json/src.hpp>
