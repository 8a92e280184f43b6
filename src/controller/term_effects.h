#pragma once
// Carries out what the scheduler has decided (`scheduler::Effects`): records to write, commands to
// send, machines to probe, and the change of the stored state's format that some records need.
// Called after every step that may have decided something.
#include "controller/machine_commands.h"

namespace basaltchute::controller {

/// The way out of the scheduler's decisions within one term.
class TermEffects {
  public:
    TermEffects(LeaderTermContext& context, MachineCommands& commands)
        : context_(context), commands_(commands) {}
    /// Carries out all that was decided since the last call; what takes time runs in the term's
    /// scope.
    void flush();
    /// True once what only version 2 of the stored state holds may be written. False while a node
    /// that might lead next does not know that version, or the state service does not answer.
    Task<bool> enablePages();

  private:
    Task<void> raiseFormat();

    LeaderTermContext& context_;
    MachineCommands& commands_;
    bool raisingFormat_ = false;
};

}  // namespace basaltchute::controller
