// One instance of the system: creates all services from the settings, connects them and stops them in order.
//
//   auto daemon = DaemonBuilder().settings(settings).build();
//   daemon->start();
//   ... on SIGTERM: daemon->stopGracefully();
#pragma once

#include "daemon/Settings.h"

#include <memory>

namespace citronplank {

class Daemon {
public:
    /// Binds all addresses and opens the data folder. Throws Error(Internal) if that fails.
    explicit Daemon(const Settings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Starts threads and timers. Precondition: called once.
    void start();
    /// Performs the planned stop: reports not ready, keeps serving until the load balancer has noticed, hands the
    /// leaves over and finishes running requests. Precondition: called once, not on a worker.
    void stopGracefully();

    /// Overview for operators, and the whole state, as JSON. Thread safe.
    std::string status() const;
    std::string dump() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Builds a daemon from checked settings.
class DaemonBuilder {
public:
    DaemonBuilder& settings(Settings it) { return m_settings = std::move(it), *this; }
    /// Precondition: the settings were checked by readSettings. Throws Error(Internal) like the constructor of Daemon.
    std::unique_ptr<Daemon> build() const { return std::make_unique<Daemon>(m_settings); }

private:
    Settings m_settings;
};

} // namespace citronplank
