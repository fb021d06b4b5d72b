"""Parts of prompts that crash engines: evidence, decisions and their end."""
