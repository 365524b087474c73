// Errors of an entry process.
#pragma once

#include <string>

namespace mustardbank {

// The process could not start.
struct StartError {
  std::string reason;
};

}  // namespace mustardbank
