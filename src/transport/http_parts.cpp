// Headers and bodies of evhttp messages.

#include "transport/http_parts.h"

#include <algorithm>
#include <cctype>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace greengagehead::transport {

std::map<std::string, std::string> read_headers(evkeyvalq const* headers)
{
    std::map<std::string, std::string> result;
    for (evkeyval const* item = headers->tqh_first; item != nullptr; item = item->next.tqe_next) {
        std::string name(item->key);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
        result[name] = item->value;
    }
    return result;
}

std::string take_body(evbuffer* body)
{
    std::string bytes(evbuffer_get_length(body), '\0');
    evbuffer_remove(body, bytes.data(), bytes.size());
    return bytes;
}

} // namespace greengagehead::transport
