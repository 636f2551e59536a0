// Conversion of evhttp headers and bodies.

#include "transport/evhttp_message.h"

#include <algorithm>
#include <cctype>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace greengagehead::transport {

std::map<std::string, std::string> read_headers(evkeyvalq const* headers)
{
    std::map<std::string, std::string> result;
    for (evkeyval const* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
        std::string name(header->key);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
        result[name] = header->value;
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
