// Benchmarks of a log line for a placement decision, and of a line below the configured level. The
// log is written to standard error, which should be redirected to a file.

#include <benchmark/benchmark.h>

#include "base/log_record.h"
#include "base/log_sink.h"

namespace {

using namespace greengagehead::base;

void write_line(log_event event)
{
    log_record(event)
        .with("job", "0123456789abcdef0123456789abcdef")
        .with("task", 17)
        .with("attempt", 1)
        .with("endpoint", "recife-agent-1")
        .with("policy", "least_loaded")
        .with("reason", "least loaded of a sample")
        .with("candidates", 6);
}

void written(benchmark::State& state)
{
    static bool const opened = (open_log(log_style::text, severity::info), true);
    benchmark::DoNotOptimize(opened);
    for (auto _ : state)
        write_line(log_event::task_placed);
}

void switched_off(benchmark::State& state)
{
    for (auto _ : state)
        write_line(log_event::task_finished);
}

BENCHMARK(written);
BENCHMARK(switched_off);

} // namespace

BENCHMARK_MAIN();
