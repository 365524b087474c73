// Shared by the property tests of the guarantees: the number of cases, a
// generator, and the results file that `Meta/mustardbank.sh prove` reads.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string_view>

namespace mustardbank {

inline int ProofCases() {
  constexpr int kDefaultCases = 60;
  const char* text = std::getenv("MUSTARDBANK_PROOF_CASES");
  return text ? std::atoi(text) : kDefaultCases;
}

inline const char* ProofFile() {
  return std::getenv("MUSTARDBANK_PROOF_FILE");
}

// Generates values in [least, limit) from the whole range. RapidCheck would
// narrow the range for small case sizes.
template <typename T>
rc::Gen<T> InRange(T least, T limit) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, limit));
}

inline void RecordProof(std::string_view guarantee,
                        int cases,
                        std::uint64_t faults,
                        std::uint64_t violations) {
  const char* file = ProofFile();
  if (!file)
    return;
  std::ofstream(file, std::ios::app)
      << R"({"name":")" << guarantee << R"(","cases":)" << cases
      << R"(,"faults":)" << faults << R"(,"violations":)" << violations
      << "}\n";
}

}  // namespace mustardbank
