// Errors of settings and configuration files.
#pragma once

#include <string>
#include <vector>

namespace mustardbank {

// One fault of a document: where it is and what is expected there.
struct ConfigFault {
  std::string file;
  int line = 0;      // from 1, 0 if the document as a whole is at fault
  std::string path;  // such as "services[0].places"
  std::string expected;

  // Formats as "file:line: path: expected ...".
  std::string ToString() const;
};

// All faults found in one document.
struct ConfigError {
  std::vector<ConfigFault> faults;

  std::string ToString() const;
};

}  // namespace mustardbank
