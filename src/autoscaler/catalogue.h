#pragma once
#include <map>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::autoscaler {

struct MachineType {
    std::string name;
    Resources capacity;
    double imageCacheGb = 0, fetchGbPerS = 1;
    double price = 0, spotPrice = 0;
    Duration bootTime{};
    std::vector<std::string> zones;
};
using Catalogue = std::map<std::string, MachineType>;

}  // namespace basaltchute::autoscaler
