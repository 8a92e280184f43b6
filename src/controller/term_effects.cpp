#include "controller/term_effects.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration formatRetryInterval = 1s;
}  // namespace

void TermEffects::flush() {
    scheduler::Effects effects = context_.cluster.takeEffects();
    for (const auto& [key, priority] : effects.dirtyRecords)
        context_.writer.markDirty(key, priority);
    for (const MachineIndex machine : effects.sendCommands)
        context_.scope.spawn(commands_.sendDirectCommands(machine));
    for (const MachineIndex machine : effects.probe)
        context_.scope.spawn(commands_.probeInbound(machine));
    if (context_.cluster.needsPages() && !raisingFormat_) context_.scope.spawn(raiseFormat());
}

Task<bool> TermEffects::enablePages() {
    if (context_.election.format() < pagedFormat) {
        // A node that does not know it might lead next, and would lose what it cannot read.
        if (context_.cluster.operatorSettings().storedFormat < pagedFormat ||
            !context_.environment.allSupportFormat(pagedFormat) || !context_.mayAct())
            co_return false;
        const bool raised = co_await context_.election.raiseFormat(pagedFormat, context_.scope);
        if (!raised || context_.scope.cancelled()) co_return false;
    }
    context_.cluster.enablePages();
    co_return true;
}

Task<void> TermEffects::raiseFormat() {
    raisingFormat_ = true;
    const bool enabled = co_await enablePages();
    // Not while an older version is there: tried again with a later write.
    if (!enabled) co_await context_.loop.sleep(formatRetryInterval, context_.scope);
    raisingFormat_ = false;
    if (!context_.scope.cancelled()) flush();
}

}  // namespace basaltchute::controller
