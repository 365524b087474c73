// Errors found while reading JSON documents such as settings, configurations,
// the inventory and load plans.
#pragma once

#include <string>
#include <vector>

namespace mustardbank {

// One fault in a document: its position and what was expected there.
struct ConfigFault {
  std::string file;
  int line = 0;      // counted from 1; 0 if the file could not be read
  std::string path;  // such as "services[0].places"; empty for the document
  std::string expected;

  // Formats the fault as "file:line: path: expected ...".
  std::string ToString() const;
};

// All faults found in one document.
struct ConfigError {
  std::vector<ConfigFault> faults;

  // One line for each fault.
  std::string ToString() const;
};

}  // namespace mustardbank
