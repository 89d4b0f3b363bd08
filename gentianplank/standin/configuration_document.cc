#include "gentianplank/standin/configuration_document.h"

namespace gentianplank {

std::string configuration(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"host":"ledger","route-kind":"read_your_writes","timeout-ms":1500,"target-latency-ms":1000,
  "priority":1,"service":"g","max-staleness-ms":2000},
 {"host":"main","route-kind":"primary","timeout-ms":1500,"target-latency-ms":600,
  "priority":1,"service":"g"},
 {"host":"open","route-kind":"primary","timeout-ms":1500,"target-latency-ms":600,
  "priority":1,"service":"g","public":true}],
 "services":[{"name":"g","connection-limit":16}],"limits":{"transaction-idle-ms":3000},
 "tenants":[{"name":"org","api-keys":[)" +
           keys + R"(],"rate-per-s":1000000,"burst-size":1000000}]})";
}

} // namespace gentianplank
