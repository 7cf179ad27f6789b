#pragma once

#include "common/Standin.h"

#include <cstdio>

namespace jy::standins {

/** One entry of standin_instances, kept current by the server that it describes. */
class Registration
{
public:
    /** @param listPort port of standin_instances; zero disables registration */
    Registration(HttpClient &http, std::uint16_t listPort, const std::string &list,
                 const std::string &id, std::uint16_t port, boost::json::object meta)
        : http_(http)
        , listPort_(listPort)
        , path_("/control/instances/" + list + '/' + id)
        , port_(port)
        , meta_(std::move(meta))
    { }

    /** Changes one field and lists the server again. */
    void set(const std::string &field, const boost::json::value &value)
    {
        meta_[field] = value;
        list();
    }

    void list()
    {
        send("PUT",
             boost::json::object{{"Address", "127.0.0.1"}, {"Port", port_}, {"Meta", meta_}});
    }

    void unlist() { send("DELETE", {}); }

private:
    void send(const char *method, const boost::json::object &body)
    {
        if (listPort_ == 0)
            return;
        HttpRequest request{.method = method, .target = path_};
        request.body = boost::json::serialize(body);
        const auto response =
            http_.request({"127.0.0.1", listPort_}, request, std::chrono::milliseconds(2000));
        if (!response)
            std::fprintf(stderr, "event=registration_failed path=%s error=\"%s\"\n", path_.c_str(),
                         response.error().message.c_str());
    }

    HttpClient &http_;
    std::uint16_t listPort_;
    std::string path_;
    std::uint16_t port_;
    boost::json::object meta_;
};

} // namespace jy::standins
