#pragma once
// The machine types that the cloud offers. Filled by `autoscaler::CloudClient`; read by the
// scheduler and the autoscaler.
#include <map>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::autoscaler {

/// A machine type as the cloud's catalogue describes it.
struct MachineType {
    std::string name;
    Resources capacity;
    double imageCacheGb = 0;          // local disk for container images
    double fetchGbPerS = 1;           // speed of fetching an image, in gigabytes per second
    double price = 0, spotPrice = 0;  // of an ordinary and of a spot machine
    Duration bootTime{};              // from the request until the machine is ready, as stated
    std::vector<std::string> zones;   // where the type is offered
};
/// Machine types by name.
using Catalogue = std::map<std::string, MachineType>;

}  // namespace basaltchute::autoscaler
