//! Plans of operators' intents and their confirmation.
