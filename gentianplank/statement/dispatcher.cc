#include "gentianplank/statement/dispatcher.h"

#include "gentianplank/statement/dispatch_context.h"

namespace gentianplank {

struct Dispatcher::State
{
    explicit State(DispatcherParts parts)
        : context(std::make_shared<internal::DispatchContext>(std::move(parts)))
    {}

    std::shared_ptr<internal::DispatchContext> context;
    std::shared_ptr<internal::TransactionReaper> reaper = internal::makeTransactionReaper();
};

Dispatcher::Dispatcher(DispatcherParts parts)
    : m_state(std::make_shared<State>(std::move(parts)))
{}

Dispatcher::~Dispatcher() = default;

tl::expected<StatementAnswer, Refusal> Dispatcher::execute(const StatementRequest &request)
{
    return request.statement.read_only() ? internal::runRead(*m_state->context, request)
                                         : internal::runWrite(*m_state->context, request);
}

tl::expected<PulledAnswer, Refusal> Dispatcher::pull(const StatementRequest &request,
                                                     const ChunkSink &sink)
{
    return internal::runPull(*m_state->context, request, sink);
}

tl::expected<std::unique_ptr<TransactionRun>, Refusal>
Dispatcher::begin(const StatementRequest &request)
{
    return internal::beginTransaction(m_state->context, *m_state->reaper, request);
}

} // namespace gentianplank
