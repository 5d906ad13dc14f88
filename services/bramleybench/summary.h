// Summary statistics of the request experiment, over one or several seeds.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "request_experiment.h"

namespace bramleytrack::experiments {

// Nearest-rank quantile; 0 if there are no values. `probability` is between 0 and 1.
double quantile(std::vector<int> values, double probability);

// The max-min fair share of `capacity` for each of the demands.
std::vector<double> fair_shares(std::span<const double> demands, double capacity);

// Fairness index (Jain, Chiu and Hawe 1984): 1 if all values are equal, 1/n if one has everything.
double jain_index(std::span<const double> values);

struct figure {
    std::string name;
    double value = 0;
};

// Figures of one run, or of several seeds whose results were merged.
std::vector<figure> figures_of(const request_result& result);

request_result merge(std::span<const request_result> results);

}  // namespace bramleytrack::experiments
