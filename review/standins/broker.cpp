// The project's own stand-in broker (src/gateway/testing) as a process of its own, on the real
// clock. Publishes what standard input tells, "publish QUEUE COUNT BODY", and writes to standard
// output what became of the messages.
#include "gateway/testing/broker.h"

#include <fcntl.h>
#include <unistd.h>

#include <iostream>
#include <sstream>

using namespace basaltchute;

namespace {

Task<void> readCommands(EventLoop& loop, Scope& scope, gateway::testing::Broker& broker) {
    std::string data, last;
    while (true) {
        char buffer[4096];
        const ssize_t n = ::read(0, buffer, sizeof buffer);
        if (n == 0) std::_Exit(0);
        if (n > 0) data.append(buffer, static_cast<std::size_t>(n));
        for (auto end = data.find('\n'); end != std::string::npos; end = data.find('\n')) {
            std::istringstream line(data.substr(0, end));
            data.erase(0, end + 1);
            std::string word, queue, body;
            int count = 0;
            line >> word >> queue >> count >> std::ws;
            std::getline(line, body);
            for (int i = 0; i < count; ++i) {
                amqp::Message m;
                m.body = body;
                broker.publish(queue, std::move(m));
            }
        }
        std::ostringstream out;
        for (const auto& [name, q] : broker.queues)
            out << name << " waiting=" << q.waiting.size() << " unsettled=" << q.unsettled
                << " accepted=" << q.accepted << " dead=" << q.dead.size() << '\n';
        if (out.str() != last) std::cout << (last = out.str()) << std::flush;
        co_await loop.sleep(std::chrono::milliseconds(20), scope);
    }
}

}  // namespace

int main() {
    ::fcntl(0, F_SETFL, ::fcntl(0, F_GETFL) | O_NONBLOCK);
    const SystemClock clock;
    EventLoop loop(clock);
    Scope scope(loop);
    gateway::testing::Broker broker(loop, scope);
    std::cout << "address " << broker.address() << std::endl;
    scope.spawn(readCommands(loop, scope, broker));
    loop.run();
}
