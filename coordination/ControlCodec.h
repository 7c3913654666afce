// Msgpack serialization of the control types. Included by .cpp files only, because msgpack.hpp is slow to compile.
//
// Each type has one function `fields(archive, value)` that lists its members in order. It is used for both writing and
// reading, so the two cannot differ. Structs are encoded as arrays, variants as [alternative, value], maps as arrays of
// [key, value], and optional values as arrays of at most one element. The order of members, alternatives and
// enumerators is therefore part of the format.
#pragma once

#include "coordination/ControlMessages.h"

#include <map>
#include <msgpack.hpp>
#include <type_traits>

namespace citronplank::codec {

// Last enumerator of each encoded enum; the reader rejects greater values. Every enum that is encoded needs an
// overload.
constexpr Outcome lastEnumerator(Outcome) { return Outcome::MayHaveRun; }
constexpr EditStatus lastEnumerator(EditStatus) { return EditStatus::Invalid; }
constexpr BeginStatus lastEnumerator(BeginStatus) { return BeginStatus::Full; }
constexpr FinishStatus lastEnumerator(FinishStatus) { return FinishStatus::UnknownKey; }
constexpr ProposeStatus lastEnumerator(ProposeStatus) { return ProposeStatus::Refused; }

template <typename T>
struct IsVector : std::false_type {
};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {
};
template <typename T>
struct IsOptional : std::false_type {
};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {
};
template <typename T>
struct IsVariant : std::false_type {
};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {
};
template <typename T>
struct IsMap : std::false_type {
};
template <typename... T>
struct IsMap<std::map<T...>> : std::true_type {
};

/// Output of a packer. Unlike msgpack::sbuffer it gives its content away without a copy.
struct StringOutput {
    std::string text;
    void write(const char* data, std::size_t size) { text.append(data, size); }
};

/// Writes one value as msgpack.
class Writer {
public:
    template <typename... T>
    void operator()(const T&... members)
    {
        m_packer.pack_array(sizeof...(T));
        (write(members), ...);
    }

    template <typename T>
    void write(const T& value)
    {
        if constexpr (std::is_enum_v<T>)
            m_packer.pack(static_cast<std::uint64_t>(value));
        else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
            m_packer.pack(value);
        else if constexpr (std::is_same_v<T, SharedText>)
            m_packer.pack(value.text());
        else if constexpr (IsVector<T>::value)
            writeVector(value);
        else if constexpr (IsMap<T>::value)
            writeMap(value);
        else if constexpr (IsOptional<T>::value)
            writeOptional(value);
        else if constexpr (IsVariant<T>::value)
            writeVariant(value);
        else
            // `fields` takes a mutable reference because it is also used for reading; writing changes nothing.
            fields(*this, const_cast<T&>(value));
    }

    std::string take() { return std::move(m_buf.text); }

private:
    template <typename T>
    void writeVector(const T& list)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(list.size()));
        for (const auto& it : list)
            write(it);
    }

    template <typename T>
    void writeMap(const T& map)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(map.size()));
        for (const auto& [key, value] : map)
            (*this)(key, value);
    }

    template <typename T>
    void writeOptional(const T& value)
    {
        m_packer.pack_array(value ? 1 : 0);
        if (value)
            write(*value);
    }

    template <typename T>
    void writeVariant(const T& value)
    {
        m_packer.pack_array(2);
        m_packer.pack(static_cast<std::uint64_t>(value.index()));
        std::visit([this](const auto& it) { write(it); }, value);
    }

    StringOutput m_buf;
    msgpack::packer<StringOutput> m_packer { m_buf };
};

/// Reads one msgpack object. Any mismatch throws msgpack::type_error.
class Reader {
public:
    explicit Reader(const msgpack::object& object)
        : m_object(object)
    {
    }

    template <typename... T>
    void operator()(T&... members)
    {
        const auto& items = array(m_object);
        if (items.size != sizeof...(T))
            throw msgpack::type_error();
        std::size_t i = 0;
        (read(items.ptr[i++], members), ...);
    }

    template <typename T>
    static void read(const msgpack::object& object, T& value)
    {
        if constexpr (std::is_enum_v<T>)
            readEnum(object, value);
        else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
            object.convert(value);
        else if constexpr (std::is_same_v<T, SharedText>)
            value = object.as<std::string>();
        else if constexpr (IsVector<T>::value)
            readVector(object, value);
        else if constexpr (IsMap<T>::value)
            readMap(object, value);
        else if constexpr (IsOptional<T>::value)
            readOptional(object, value);
        else if constexpr (IsVariant<T>::value)
            readVariant(object, value);
        else {
            Reader reader(object);
            fields(reader, value);
        }
    }

private:
    static const msgpack::object_array& array(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        return object.via.array;
    }

    template <typename T>
    static void readEnum(const msgpack::object& object, T& value)
    {
        auto number = object.as<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(lastEnumerator(T {})))
            throw msgpack::type_error();
        value = static_cast<T>(number);
    }

    template <typename T>
    static void readVector(const msgpack::object& object, T& list)
    {
        const auto& items = array(object);
        list.clear();
        list.resize(items.size);
        for (std::uint32_t i = 0; i < items.size; ++i)
            read(items.ptr[i], list[i]);
    }

    template <typename T>
    static void readMap(const msgpack::object& object, T& map)
    {
        const auto& items = array(object);
        map.clear();
        for (std::uint32_t i = 0; i < items.size; ++i) {
            typename T::key_type key {};
            typename T::mapped_type value {};
            Reader reader(items.ptr[i]);
            reader(key, value);
            map.emplace_hint(map.end(), std::move(key), std::move(value));
        }
    }

    template <typename T>
    static void readOptional(const msgpack::object& object, T& value)
    {
        const auto& items = array(object);
        value.reset();
        if (items.size > 1)
            throw msgpack::type_error();
        if (items.size == 1)
            read(items.ptr[0], value.emplace());
    }

    template <typename T, std::size_t I = 0>
    static void readAlternative(std::size_t index, const msgpack::object& object, T& value)
    {
        if constexpr (I < std::variant_size_v<T>) {
            if (index == I)
                read(object, value.template emplace<I>());
            else
                readAlternative<T, I + 1>(index, object, value);
        } else
            throw msgpack::type_error();
    }

    template <typename T>
    static void readVariant(const msgpack::object& object, T& value)
    {
        const auto& items = array(object);
        if (items.size != 2)
            throw msgpack::type_error();
        readAlternative(items.ptr[0].as<std::size_t>(), items.ptr[1], value);
    }

    const msgpack::object& m_object;
};

template <typename A>
void fields(A& archive, ControlMember& it)
{
    archive(it.name, it.disk);
}
template <typename A>
void fields(A& archive, Membership& it)
{
    archive(it.cluster, it.voters, it.learners);
}
template <typename A>
void fields(A& archive, RuleLine& it)
{
    archive(it.key, it.value, it.comment);
}
template <typename A>
void fields(A& archive, RuleChange& it)
{
    archive(it.key, it.line);
}
template <typename A>
void fields(A& archive, Bootstrap& it)
{
    archive(it.timestampMs, it.membership);
}
template <typename A>
void fields(A& archive, SnapshotHeader& it)
{
    archive(it.index, it.term, it.timestampMs, it.membership, it.bootstrap);
}

template <typename A>
void fields(A& archive, EditResult& it)
{
    archive(it.status, it.version, it.conflictKey, it.conflictVersion, it.conflictAuthor);
}

template <typename T>
std::string encodeValue(const T& value)
{
    Writer writer;
    writer.write(value);
    return writer.take();
}

/// Throws Error(BadRequest) on malformed input or trailing bytes. `what` names the value in the message.
template <typename T>
T decodeValue(std::string_view data, const char* what)
{
    try {
        // An element takes at least one byte, so no count in well-formed input exceeds the size of the input. The limit
        // prevents a malformed count from allocating more memory than the input can fill.
        auto n = data.size();
        std::size_t offset = 0;
        constexpr std::size_t maxDepth = 32;
        // The objects refer to `data`, so that the text in it is copied once only, into the value.
        auto referToData = [](msgpack::type::object_type, std::size_t, void*) { return true; };
        auto handle = msgpack::unpack(
            data.data(), n, offset, referToData, nullptr, msgpack::unpack_limit(n, n, n, n, n, maxDepth));
        if (offset != n)
            throw Error(ErrorKind::BadRequest, std::string("trailing bytes after ") + what);
        T value {};
        Reader::read(handle.get(), value);
        return value;
    } catch (const msgpack::unpack_error& e) {
        throw Error(ErrorKind::BadRequest, std::string("malformed ") + what + ": " + e.what());
    } catch (const msgpack::type_error&) {
        throw Error(ErrorKind::BadRequest, std::string("malformed ") + what + ": unexpected type or value");
    }
}

} // namespace citronplank::codec
