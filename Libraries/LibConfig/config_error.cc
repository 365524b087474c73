#include "LibConfig/config_error.h"

namespace mustardbank {

std::string ConfigFault::ToString() const {
  const std::string& place = path.empty() ? std::string("document") : path;
  return file + ":" + std::to_string(line) + ": " + place + ": " + expected;
}

std::string ConfigError::ToString() const {
  std::string text;
  for (const ConfigFault& fault : faults) {
    if (!text.empty())
      text += '\n';
    text += fault.ToString();
  }
  return text;
}

}  // namespace mustardbank
