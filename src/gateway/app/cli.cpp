#include "gateway/app/cli.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <iostream>

#include "http/client.h"
#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {

constexpr Duration timeout = 5s;
constexpr int maxRedirects = 3;

std::string escaped(const std::string& s) {
    std::string out;
    for (const char c : s) {
        const bool plain = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
                           c == '_' || c == '.' || c == '/' || c == ':';
        out += plain ? std::string(1, c) : fmt::format("%{:02x}", static_cast<unsigned char>(c));
    }
    return out;
}

http::Request requestOf(const AdminCommand& q) {
    const std::string which = "?queue=" + escaped(q.queue) + "&key=" + escaped(q.key);
    switch (q.what) {
        case AdminCommand::Action::ledger:
            return {"GET",
                    "/ledger" + which + "&stage=" + escaped(q.stage) +
                        "&limit=" + std::to_string(q.limit),
                    ""};
        case AdminCommand::Action::drain:
            return {"POST", "/drain", ""};
        case AdminCommand::Action::replay:
            return {"POST", "/replay" + which, ""};
        case AdminCommand::Action::queues:
            break;
    }
    return {"GET", "/queues", ""};
}

std::string cell(const json::Value& line, const char* name) {
    const auto* v = json::find(line, name);
    if (v == nullptr) return "-";
    if (v->IsString()) return *v->GetString() == '\0' ? "-" : v->GetString();
    if (v->IsBool()) return v->GetBool() ? "yes" : "no";
    if (v->IsUint64()) return std::to_string(v->GetUint64());
    if (v->IsNumber()) return fmt::format("{:.1f}", v->GetDouble());
    return "-";
}

void table(const json::Value& lines, const std::vector<const char*>& columns) {
    std::vector<std::vector<std::string>> rows(1);
    for (const char* c : columns) rows[0].emplace_back(c);
    for (const auto& line : lines.GetArray()) {
        auto& row = rows.emplace_back();
        for (const char* c : columns) row.push_back(cell(line, c));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& row : rows)
        for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            std::cout << (i + 1 == row.size() ? row[i]
                                              : fmt::format("{:<{}}  ", row[i], widths[i]));
        std::cout << '\n';
    }
}

void print(const AdminCommand& q, const json::Document& d) {
    if (q.what == AdminCommand::Action::queues) {
        table(d["queues"], {"queue", "holder", "entered", "refused", "accepted", "final", "replied",
                            "links", "untaken", "oldestS", "window"});
        std::cout << '\n';
        for (const auto& c : d["counters"].GetObject())
            std::cout << c.name.GetString() << ' ' << cell(d["counters"], c.name.GetString())
                      << '\n';
    } else if (q.what == AdminCommand::Action::ledger) {
        table(d["lines"], {"ref", "stage", "status", "number", "attempts", "key", "why"});
    }
}

}  // namespace

int runAdminCommand(const AdminCommand& q) {
    const SystemClock clock;
    EventLoop loop(clock);
    Scope scope(loop);
    http::RequestOutcome outcome;
    std::string at = q.admin;
    loop.spawn([](EventLoop& l, Scope& s, const AdminCommand& asked, std::string& where,
                  http::RequestOutcome& out) -> Task<void> {
        for (int hop = 0; hop < maxRedirects; ++hop) {
            http::Client client(l, where, 0);
            http::Request request = requestOf(asked);
            out = co_await client.request(std::move(request), timeout, s);
            const auto doc = out.answered && out.response.status == 421
                                 ? json::parse(out.response.body)
                                 : std::nullopt;
            const auto next = doc ? json::string(*doc, "admin") : std::nullopt;
            if (!next || *next == where) break;
            where = *next;
        }
        l.stop();
    }(loop, scope, q, at, outcome));
    loop.run();
    if (!outcome.answered) {
        std::cerr << "no answer from " << at << '\n';
        return 1;
    }
    const auto doc = json::parse(outcome.response.body);
    if (outcome.response.status != 200 || !doc) {
        const auto error = doc && doc->IsObject() ? json::string(*doc, "error") : std::nullopt;
        std::cerr << at << ": "
                  << error.value_or("status " + std::to_string(outcome.response.status)) << '\n';
        return 1;
    }
    if (q.json)
        std::cout << outcome.response.body << '\n';
    else
        print(q, *doc);
    return 0;
}

}  // namespace basaltchute::gateway
