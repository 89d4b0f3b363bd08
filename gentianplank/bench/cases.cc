#include "gentianplank/bench/cases.h"

#include "gentianplank/bench/configuration_spread_case.h"
#include "gentianplank/bench/failover_case.h"
#include "gentianplank/bench/key_withdrawal_case.h"
#include "gentianplank/bench/noisy_neighbour_case.h"
#include "gentianplank/bench/replica_reads_case.h"
#include "gentianplank/bench/store_outage_case.h"
#include "gentianplank/bench/two_failures_case.h"
#include "gentianplank/bench/wrongful_refusals_case.h"

#include <vector>

namespace gentianplank {

std::span<const BenchCase> benchCases()
{
    static const std::vector<BenchCase> all{
        {"failover", "time without acknowledged writes after a primary failure", runFailoverCase},
        {"two_failures", "the same with a second failure during the failover", runTwoFailuresCase},
        {"replica_reads", "share of reads that replicas serve, and stale reads",
         runReplicaReadsCase},
        {"configuration_spread", "time from a configuration change until every VM applies it",
         runConfigurationSpreadCase},
        {"key_withdrawal", "use of a withdrawn key at partitioned VMs", runKeyWithdrawalCase},
        {"store_outage", "requests refused while the store is unavailable", runStoreOutageCase},
        {"wrongful_refusals", "statements refused within the rate limit, or admitted above it",
         runWrongfulRefusalsCase},
        {"vm_death", "the same when a VM fails, for each VM", runVmDeathCase},
        {"noisy_neighbour", "other organisations while one sends ten times its rate",
         runNoisyNeighbourCase},
        {"worst_served", "the same with bulk pulls among the excess statements",
         runWorstServedCase},
    };
    return all;
}

} // namespace gentianplank
