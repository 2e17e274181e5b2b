#include "contract/ProgramBuilder.h"

namespace coralhoist::contract {

void ProgramBuilder::append(BackendCommand command, CommandLabel label) {
    _result.program.commands.push_back(std::move(command));
    _result.labels.push_back(label);
}

ProgramBuilder& ProgramBuilder::addReset() {
    return addStatement(CommandRole::Reset, "DISCARD ALL", ResultUse::Discard, true);
}

ProgramBuilder& ProgramBuilder::addParameters(const std::vector<SessionParameter>& parameters) {
    for (const SessionParameter& parameter : parameters) {
        addStatement(CommandRole::Parameter, "SELECT set_config($1, $2, false)", ResultUse::Discard,
                     false,
                     {{parameter.name, ValueFormat::Text}, {parameter.value, ValueFormat::Text}});
    }
    return *this;
}

ProgramBuilder& ProgramBuilder::addStatus(CommandRole role) {
    append(makeStatusCommand(_statusQuery), {role, 0});
    return *this;
}

ProgramBuilder& ProgramBuilder::addSteps(const StatementBatch& batch, bool sync) {
    for (std::size_t index = 0; index < batch.steps.size(); ++index) {
        BackendCommand command;
        command.step = batch.steps[index];
        command.use = ResultUse::Forward;
        command.syncAfter = sync && index + 1 == batch.steps.size();
        append(std::move(command), {CommandRole::Step, index});
    }
    return *this;
}

ProgramBuilder& ProgramBuilder::addStatement(CommandRole role, std::string sql, ResultUse use,
                                             bool sync, std::vector<ParameterValue> parameters) {
    BackendCommand command;
    command.step.kind = StatementKind::Write;
    command.step.sql = std::move(sql);
    command.step.parameters = std::move(parameters);
    command.use = use;
    command.syncAfter = sync;
    append(std::move(command), {role, 0});
    return *this;
}

}  // namespace coralhoist::contract
