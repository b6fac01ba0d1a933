//! Order of batch work: earliest deadline with slack, weighted over tenants.
