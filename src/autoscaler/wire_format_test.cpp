// The exact requests to the cloud and how its literal responses are read.
#include <gtest/gtest.h>

#include "autoscaler/autoscaler.h"
#include "autoscaler/cloud_client.h"
#include "testing/scripted_service.h"

namespace basaltchute::autoscaler {
namespace {

using namespace std::chrono_literals;
using testing::finish;
using Requests = std::vector<std::string>;

class CloudWireFormat : public ::testing::Test {
  protected:
    testing::World world;
    testing::ScriptedService service{world};
    settings::Settings settings = settingsFor(service.address());
    CloudClient cloud{world.loop, settings, [] { return true; }};

    static settings::Settings settingsFor(const std::string& address) {
        auto s = testing::someSettings();
        s.cloudAddress = address;
        return s;
    }
    void TearDown() override { world.end(world.scope); }
};

TEST_F(CloudWireFormat, CatalogueRequestAndResponse) {
    service.answer(200,
                   R"({"rigs":[{"sku":"g4","cores":16.0,"gpus":4.0,"ramGb":64.0,"localGb":200.0,)"
                   R"("fetchGbPerS":0.5,"rate":3.25,"marketPrice":1.5,"readyS":90.0,)"
                   R"("halls":["north","south"]},{"sku":"c8","rate":2.0}]})");
    const auto catalogue = finish(world, cloud.fetchCatalogue(world.scope));
    EXPECT_EQ(service.takeRequests(), Requests{"GET /catalog"});
    ASSERT_TRUE(catalogue);
    ASSERT_EQ(catalogue->size(), 2U);
    const MachineType& type = catalogue->at("g4");
    EXPECT_EQ(type.name, "g4");
    EXPECT_EQ(type.capacity, (Resources{16, 4, 64}));
    EXPECT_EQ(type.imageCacheGb, 200);
    EXPECT_EQ(type.fetchGbPerS, 0.5);
    EXPECT_EQ(type.price, 3.25);
    EXPECT_EQ(type.spotPrice, 1.5);
    EXPECT_EQ(type.bootTime, Duration(90s));
    EXPECT_EQ(type.zones, (std::vector<std::string>{"north", "south"}));
    EXPECT_EQ(catalogue->at("c8").spotPrice, 2);
}

TEST_F(CloudWireFormat, ListRequestsAndResponses) {
    service.setScript([](const http::Request& request) {
        if (request.target.find("&after=") == std::string::npos)
            return http::Response{
                200, R"({"hosts":[{"ref":"n-1","addr":"10.1.0.1:7000","rigKind":"c8",)"
                     R"("hall":"north","loaners":true,"status":"running","ageS":12.5}],)"
                     R"("truncated":true})"};
        return http::Response{200, R"({"hosts":[{"ref":"n-2","rigKind":"g4","hall":"south",)"
                                   R"("loaners":false,"status":"starting","ageS":1.0}],)"
                                   R"("truncated":false})"};
    });
    const auto machines = finish(world, cloud.listMachines(world.scope));
    EXPECT_EQ(service.takeRequests(),
              (Requests{"GET /hosts?page=500", "GET /hosts?page=500&after=n-1"}));
    ASSERT_TRUE(machines);
    ASSERT_EQ(machines->size(), 2U);
    const ListedMachine& first = machines->at(0);
    EXPECT_EQ(first.name, "n-1");
    EXPECT_EQ(first.address, "10.1.0.1:7000");
    EXPECT_EQ(first.type, "c8");
    EXPECT_EQ(first.zone, "north");
    EXPECT_EQ(first.status, "running");
    EXPECT_TRUE(first.spot);
    EXPECT_EQ(first.ageSeconds, 12.5);
    EXPECT_EQ(machines->at(1).name, "n-2");
    EXPECT_EQ(machines->at(1).status, "starting");
    EXPECT_FALSE(machines->at(1).spot);
}

TEST_F(CloudWireFormat, CreateRequestAndResponses) {
    ScaleOutRequest request;
    request.requestId = "b-9-1";
    request.type = "c8";
    request.zone = "north";
    request.spot = true;
    request.count = 3;
    service.answer(200, R"({"hosts":["n-1","n-2","n-3"]})");
    const auto result = finish(world, cloud.createMachines(request, world.scope));
    EXPECT_EQ(service.takeRequests(),
              Requests{R"(POST /hosts {"booking":"b-9-1","rigKind":"c8","hall":"north",)"
                       R"("loaners":true,"howMany":3})"});
    EXPECT_EQ(result.answer, CloudClient::Answer::ok);
    EXPECT_EQ(result.names, (std::vector<std::string>{"n-1", "n-2", "n-3"}));
    service.answer(409, R"({"error":"no capacity"})");
    EXPECT_EQ(finish(world, cloud.createMachines(request, world.scope)).answer,
              CloudClient::Answer::refused);
    service.answer(200, "{}");
    EXPECT_EQ(finish(world, cloud.createMachines(request, world.scope)).answer,
              CloudClient::Answer::unknown);
}

TEST_F(CloudWireFormat, RequestIds) {
    scheduler::Cluster cluster(settings, 9);
    cluster.setCatalogue(testing::someCatalogue());
    Autoscaler autoscaler(cluster, world.clock.now());
    autoscaler.onMachineList({}, world.clock.now());
    cluster.submit(testing::spec("run-1", 4), world.clock.now(), world.clock.wall());
    std::map<std::string, std::string> records;
    testing::commitAll(cluster, records);
    world.clock.advance(11s);
    const auto requests = autoscaler.plan(world.clock.now()).scaleOut;
    ASSERT_FALSE(requests.empty());
    EXPECT_EQ(requests[0].requestId, "b-9-1") << "the leader's fencing token and a number";
}

TEST_F(CloudWireFormat, DeleteRequestAndResponses) {
    service.answer(200, "{}");
    EXPECT_TRUE(finish(world, cloud.deleteMachines({"n-1", "n-2"}, world.scope)));
    EXPECT_EQ(service.takeRequests(), Requests{R"(POST /hosts/delete {"hosts":["n-1","n-2"]})"});
    service.answer(503, "{}");
    EXPECT_FALSE(finish(world, cloud.deleteMachines({"n-1"}, world.scope)));
}

}  // namespace
}  // namespace basaltchute::autoscaler
