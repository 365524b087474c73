// Stand-in for the platform's metadata store: the table calls of PROTOCOL.md.
// Always sound and up. Runs on one fiber thread.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "LibHttp/http_message.h"

namespace review {

class Store {
 public:
  // Rows as the operator and the workers write them.
  void Put(const std::string& table,
           const std::string& key,
           const boost::json::object& value);
  // `addresses`: addresses in row values that this caller reaches by another
  // one, such as that of a proxy on its link.
  mustardbank::HttpResponse Serve(
      const mustardbank::HttpRequest& request,
      const std::map<std::string, std::string>& addresses = {});

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };

  boost::json::object ToJson(
      const std::string& table,
      const std::string& key,
      const Row& row,
      const std::map<std::string, std::string>& addresses) const;
  mustardbank::HttpResponse Get(
      const mustardbank::HttpRequest& request,
      const std::map<std::string, std::string>& addresses);
  mustardbank::HttpResponse Feed(
      const mustardbank::HttpRequest& request,
      const std::map<std::string, std::string>& addresses);
  mustardbank::HttpResponse Transact(const std::string& body);
  mustardbank::HttpResponse Register(const std::string& body);

  // By table and key; all parts are empty.
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::uint64_t version_ = 1;
};

}  // namespace review
