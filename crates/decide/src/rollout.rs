//! Steps of a version rollout with canary and health gate.
