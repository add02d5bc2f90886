#include "measures.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

/// Measures the decisions of dispatch against baselines on models of continuously batching engines.
int main(int argc, char **argv)
{
    using namespace banyan::bench;
    try {
        TCLAP::CmdLine command("Measures dispatch policies on a discrete-event model; the same seed gives the same figures.", ' ', "1");
        std::vector<std::string> measureNames{"all", "harm", "stragglers", "slow", "loss", "topology"};
        std::vector<std::string> policyNames{"all", "banyan", "round-robin", "least-in-flight"};
        TCLAP::ValuesConstraint<std::string> measureConstraint(measureNames);
        TCLAP::ValuesConstraint<std::string> policyConstraint(policyNames);
        TCLAP::ValueArg<std::string> measure("m", "measure", "what to measure", false, "all", &measureConstraint, command);
        TCLAP::ValueArg<std::string> policy("p", "policy", "whose decisions", false, "all", &policyConstraint, command);
        TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of arrivals and choices", false, 1, "number", command);
        TCLAP::ValueArg<std::size_t> nodes("n", "nodes", "entry nodes of the topology measure", false, 13, "number", command);
        command.parse(argc, argv);
        const measure_options options{
            .measure = measure.getValue(), .policy = policy.getValue(), .seed = seed.getValue(), .nodes = nodes.getValue()};
        runMeasures(options, std::cout);
        return 0;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "error=\"" << error.error() << "\" argument=\"" << error.argId() << "\"\n";
        return 1;
    }
}
